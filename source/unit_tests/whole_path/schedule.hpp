#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet.hpp"

/// Random schedules of calls and faults, and the checks of what must always hold.
namespace reedramp::whole_path {

/// The promises, in the order of docs/PROMISES.md.
enum class promise : std::uint8_t {
    allowed_only = 1,
    nothing_new_on_withdrawn,
    session_keeps_version,
    billed_once,
    whole_own_answer,
    not_run_is_true,
    at_most_once,
    nothing_new_on_leaving,
    shutdown_cuts_nothing,
    configuration_only_forward,
};

struct violation {
    promise which = promise::allowed_only;
    std::string what;
};

/// One call of a caller.
struct made_call {
    std::string mark;
    std::shared_ptr<entry_node> at;
    std::shared_ptr<fake_caller> caller;
    bool is_chat = true;
    bool has_left = false;
};

/// About eight seconds of calls and faults, then a time without faults in which all has to settle.
/// The same seed gives the same schedule.
class schedule {
public:
    explicit schedule(std::uint64_t seed, mutation fault = mutation::none);

    /// Runs it; gives what did not hold.
    auto run() -> const std::vector<violation>&;

    [[nodiscard]] auto answered() const -> std::size_t;

private:
    auto draw(std::uint64_t below) -> std::uint64_t { return this->all.net.random() % below; }

    auto one_of(const std::vector<std::string>& names) -> std::string
    {
        return names[this->draw(names.size())];
    }

    auto start() -> void;
    auto step() -> void;
    auto heal() -> void;

    auto make_call() -> void;
    auto send(const std::string& mark, http::request request) -> void;
    auto call_chat() -> void;
    auto call_session() -> void;
    auto call_note() -> void;
    auto open_sessions() -> void;
    auto leave_one() -> void;

    auto make_fault() -> void;
    auto disturb(life& alive, const std::function<auto()->void>& kill) -> bool;
    auto disturb_entry() -> void;
    auto disturb_agent() -> void;
    auto disturb_log() -> void;
    auto change_configuration() -> void;
    auto withdraw() -> void;
    auto revive() -> void;

    auto check_start(const work_start& item) -> void;
    auto check_offsets() -> void;
    auto check_end() -> void;
    auto check_call(const made_call& call) -> void;
    auto check_refusal(const made_call& call) -> void;
    auto check_answer(const made_call& call) -> void;
    auto check_stream(const made_call& call, const std::string& wanted) -> void;
    auto check_bills() -> void;
    auto check_departures() -> void;
    auto check_configuration() -> void;

    /// Calls `look(name, node)` for each process that is the newest of its name.
    template <typename Look>
    auto for_processes(Look look) -> void
    {
        for (const auto& [name, node] : this->all.entries) {
            look(name, *node);
        }
        for (const auto& [name, node] : this->all.agents) {
            look(name, *node);
        }
    }

    auto report(promise which, std::string what) -> void;

    std::vector<made_call> calls;
    std::vector<std::shared_ptr<fake_caller>> sessions;
    std::map<std::string, std::string> pinned_marks;
    std::set<std::string> at_most_once_marks;
    std::set<std::string> started_marks;
    std::map<const life*, std::uint64_t> offsets;
    std::map<std::string, common::result<inventory::publication>> published;
    std::vector<std::shared_ptr<entry_node>> stopped_entries;
    std::vector<std::shared_ptr<agent_node>> drained_agents;
    std::uint64_t marks = 0;
    std::vector<violation> found;
    /// Ends first: what it ends may still be reported to the members above.
    fleet all;
};

} // namespace reedramp::whole_path
