#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "inventory/checkpoint.hpp"
#include "inventory/fold.hpp"
#include "inventory/follower.hpp"
#include "inventory/publisher.hpp"
#include "inventory/record.hpp"
#include "inventory/rules.hpp"
#include "platform/fake_log.hpp"
#include "platform/fake_time.hpp"

/// Helpers to build records, and a fixture that runs followers on a fake log and virtual time.
namespace reedramp::inventory::testing {

using namespace std::chrono_literals;
using common::log_offset;
using common::result_code;
using common::version_id;

inline constexpr auto configuration = platform::streams::configuration;
inline constexpr auto shared_key = "key of the processes";

/// JSON text of a record with these changes, given as JSON text.
auto record_text(const std::string& id, std::uint64_t base, const std::string& changes)
    -> std::string;

/// Model "m", stable version "v1", version "v2" in roll-out, sensitive "v3", organisation "o".
auto first_record() -> std::string;

auto put_version(const std::string& id, int price) -> std::string;

/// Parses a record's text, for `publisher`.
auto parsed(const std::string& text) -> record;

/// The state after folding these records, from offset 1 on.
auto folded(const std::vector<std::string>& records) -> state;

/// One process.
struct process {
    std::shared_ptr<follower> reader;
    std::shared_ptr<publisher> writer;
    bool is_tailer = true;
    /// Whether this process reads a replica of the log that gets no new records.
    bool reads_stale_replica = false;
    /// Whether pulls between this process and its peers fail.
    bool is_cut_off = false;
    /// The host is suspended until then: timers and responses are delayed.
    common::time_point paused_until{};
    /// Offsets of all snapshots, in the order in which they came into force.
    std::vector<std::uint64_t> offsets;
};

class fixture {
public:
    fixture();

    /// Starts a process, which can be pulled from at the address `name`.
    auto start(const std::string& name, bool is_tailer = true) -> process&;

    auto run(common::duration span) -> void { this->time.run_for(span); }

    /// Ends the process, which peers can't reach any more.
    auto end(const std::string& name) -> void;

    /// Appends a record, as another process would.
    auto put(const std::string& text) -> log_offset { return this->log.put(configuration, text); }

    auto set_down(bool down) -> void;

    auto at(const std::string& name) -> process& { return *this->processes.at(name); }

    /// Makes the stale replica a copy of the current log; it gets no later records.
    auto freeze_replica() -> void;

    /// Offset of a process's state.
    auto offset(const std::string& name) -> std::uint64_t;
    /// Offsets of all snapshots of a process; empty if there is no such process.
    auto offsets_of(const std::string& name) -> std::vector<std::uint64_t>;
    auto serving(const std::string& name, const std::string& version) -> result_code;

    platform::fake_time time;
    platform::fake_log log;
    follower_settings settings;
    /// Maximum number of records in one response of the log.
    std::size_t read_limit = 1000;
    /// If set, the response to each pull.
    std::optional<messages::configuration_push> fixed_push;
    /// Whether processes know which of them are tailers.
    bool knows_tailers = false;

private:
    auto names(const std::string& except, bool tailers_only) -> std::vector<messages::rpc_address>;
    /// Runs the action as soon as the process is not suspended.
    auto deliver(std::weak_ptr<process> to, std::function<auto()->void> action) -> void;
    auto hooks_of(const std::string& name, const std::shared_ptr<process>& self) -> follower_hooks;

    auto pull(
        const std::weak_ptr<process>& from,
        const std::string& to,
        const messages::configuration_pull& pull,
        const messages::answer_hook<messages::configuration_push>& done) -> void;

    std::map<std::string, std::shared_ptr<process>> processes;
    /// Content of the replica that gets no new records.
    platform::read_answer stale_replica;
    std::uint64_t seed = 0;
};

/// Puts records that change v1, each on the newest base.
auto put_changes(fixture& env, int count) -> void;

} // namespace reedramp::inventory::testing
