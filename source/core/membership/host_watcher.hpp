#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string_view>
#include <vector>

#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "membership/subset.hpp"
#include "membership/view.hpp"
#include "messages/channel.hpp"
#include "platform/hooks.hpp"

namespace reedramp::membership {

/// Number of processes for each tailer, that is, a process that reads the configuration from the
/// log itself.
inline constexpr std::size_t processes_per_tailer = 16;

/// Number of a data centre's processes that read the log: one for every `processes_per_tailer`, and
/// at least `min_tailers`. The number grows with the data centre, so that each tailer serves the
/// pulls of a few processes only.
auto tailer_count(std::size_t processes, std::size_t min_tailers) -> std::size_t;

/// Time that each row adds to the interval between two reads of the list.
inline constexpr std::chrono::milliseconds list_period_per_row{30};

/// Interval after a read of `rows` rows, at least one second. Every process reads the whole list;
/// with a thousand rows of 139 bytes, one read per second would be 140 KB/s for each process. The
/// interval therefore grows with the list, which bounds the bytes per second. A leaving host is
/// noticed earlier by its announcement, by probes and by closed connections; a joining host is
/// found up to one interval later.
auto list_period(std::size_t rows) -> common::duration;

struct host_watcher_hooks {
    platform::host_hooks list;
    common::clock_hook now;
    common::timer_hook timer;
    /// Called after each read of the list with the live entries, this process included. May be
    /// null.
    std::function<auto(std::vector<common::host_id> entries)->void> entries_changed = nullptr;
};

/// Reads the platform's list of hosts periodically into a membership view, and derives from it
/// which processes read the log and which peers can be asked for configuration. Both entries and
/// agents use it, so that all agree on which processes read the log.
///
/// While the list can't be read, the last one stays in force.
///
/// Thread-safe; hooks are called without the lock held.
class host_watcher : public std::enable_shared_from_this<host_watcher> {
public:
    host_watcher(
        location here,
        std::size_t min_tailers,
        host_watcher_hooks given,
        std::shared_ptr<view> known);

    auto start() -> void;

    /// All other live processes that can be asked for configuration.
    [[nodiscard]] auto peers() const -> std::vector<messages::rpc_address>;

    /// The other processes of this data centre that read the log.
    [[nodiscard]] auto tailers() const -> std::vector<messages::rpc_address>;

    /// Whether this process reads the log itself; also true while there is no peer to ask.
    [[nodiscard]] auto is_tailer() const -> bool;

    /// The other live entries.
    [[nodiscard]] auto entries() const -> std::vector<peer_view>;

    /// The hosts of all live entries. This process is the first, even if the list lacks it.
    [[nodiscard]] auto entry_hosts() const -> std::vector<common::host_id>;

    /// Address of the entry on this host; empty if unknown.
    [[nodiscard]] auto address_of(const common::host_id& entry) const -> messages::rpc_address;

    /// Position of this process, from 0, among the live entries in the rendezvous order of `key`.
    [[nodiscard]] auto rank_of_self(std::string_view key) const -> std::uint32_t;

private:
    /// Where this process can get the configuration, by the last list.
    struct configuration_sources {
        std::vector<messages::rpc_address> peers;
        std::vector<messages::rpc_address> tailers;
        bool reads_log = true;
    };

    auto read_list() -> void;
    auto apply_list(std::vector<platform::host_entry> rows) -> void;
    [[nodiscard]] auto find_configuration_sources() const -> configuration_sources;

    const location self;
    const std::size_t min_tailers;
    const host_watcher_hooks hooks;
    const std::shared_ptr<view> members;

    mutable std::mutex lock;
    configuration_sources sources;
};

} // namespace reedramp::membership
