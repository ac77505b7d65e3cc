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

/// One process in this many reads the configuration from the log itself.
inline constexpr std::size_t processes_per_tailer = 16;

/// How many of a data centre's processes read the log, but for `least`. Two, so that one may fail;
/// a share of the others, so that each of them answers the pulls of a few only.
auto tailer_count(std::size_t processes, std::size_t least) -> std::size_t;

/// How much longer each row makes the pause between two readings of the list.
inline constexpr std::chrono::milliseconds period_for_row{30};

/// Pause after a reading of so many rows, at least a second. Every process reads the whole list: at
/// a thousand rows of 139 bytes, once a second would be 140 KB/s for each. So the rate of bytes is
/// bounded in place of the pause; hosts that leave are told by themselves, by probes and by closed
/// connections, and a host that joins is found up to a pause later.
auto list_period(std::size_t rows) -> common::duration;

struct host_watch_hooks {
    platform::host_hooks list;
    common::clock_hook now;
    common::timer_hook timer;
    /// The live entries, this process included, after each reading. May be empty.
    std::function<auto(std::vector<common::host_id> entries)->void> entries_changed = nullptr;
};

/// Reads the platform's list of hosts again and again into a view of the members, and derives from
/// it whom to ask for configuration and who reads the log. Used by entries and agents alike, so
/// that all agree on who reads the log. Thread-safe; hooks are called outside the lock.
///
/// While the list can't be read, what it said last stays.
class host_watch : public std::enable_shared_from_this<host_watch> {
public:
    host_watch(
        location here,
        std::size_t least_tailers,
        host_watch_hooks given,
        std::shared_ptr<view> known);

    auto start() -> void;

    /// All other live processes that can be asked for configuration.
    [[nodiscard]] auto peers() const -> std::vector<messages::rpc_address>;

    /// Those of this data centre, without this process, that read the log.
    [[nodiscard]] auto tailers() const -> std::vector<messages::rpc_address>;

    /// Whether this process is one of those that read the log; true also while there is nobody else
    /// to ask.
    [[nodiscard]] auto is_tailer() const -> bool;

    /// The other entries.
    [[nodiscard]] auto entries() const -> std::vector<peer_view>;

    /// The hosts of all live entries, this process first whether it is listed or not.
    [[nodiscard]] auto entry_hosts() const -> std::vector<common::host_id>;

    /// Address of an entry, by its host. Empty if it is not known.
    [[nodiscard]] auto address_of(const common::host_id& entry) const -> messages::rpc_address;

    /// This process's place, from 0, among the entries in the rendezvous order of `key`.
    [[nodiscard]] auto rank_of_self(std::string_view key) const -> std::uint32_t;

private:
    /// What one reading of the list says on the configuration's ways.
    struct sources {
        std::vector<messages::rpc_address> peers;
        std::vector<messages::rpc_address> tailers;
        bool reads_log = true;
    };

    auto ask() -> void;
    auto take(std::vector<platform::host_entry> rows) -> void;
    [[nodiscard]] auto find_sources() const -> sources;

    const location self;
    const std::size_t least_tailers;
    const host_watch_hooks hooks;
    const std::shared_ptr<view> members;

    mutable std::mutex lock;
    sources found;
};

} // namespace reedramp::membership
