#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <utility>

#include "routing/server_instance.hpp"
#include "routing/server_table.hpp"

namespace reedramp::routing {

/// This entry's rank among all entries that send to the same servers.
struct entry_rank {
    /// 0 for the first. Unique, as far as the entries know of each other.
    std::size_t number = 0;
    /// Number of entries, this one included.
    std::size_t of = 1;
};

struct send_slot_hooks {
    /// Empty if this entry is the only one.
    std::function<auto()->entry_rank> rank = {};
    /// Milliseconds since 1970, about the same at all entries. If empty, the `now` of each call is
    /// used.
    std::function<auto()->std::uint64_t> unix_ms = {};
};

/// Divides a server's request rate among all entries: each entry gets a periodic slot for one
/// request.
///
/// With a fixed schedule, entries need not know of each other's sends, and the rate of one entry
/// may be below one request per second. Slots follow each other by rank and time of day, so that
/// they are evenly spaced. With random times, a hundred entries would sometimes send enough
/// requests at once to exceed a limit that is only slightly above the rate.
class send_slot_schedule {
public:
    explicit send_slot_schedule(send_slot_hooks hooks_to_use) : hooks(std::move(hooks_to_use)) {}

    /// Whether a request may be sent now to the server, which accepts `per_second` requests from
    /// all entries.
    [[nodiscard]] auto may_send(const registration& server, double per_second, time_point now) const
        -> bool
    {
        return this->slot_at(server, per_second, now).is_open;
    }

    /// Returns the start of the next slot at the server, or `now` during an unused one.
    [[nodiscard]] auto
    next_slot(const registration& server, double per_second, time_point now) const -> time_point;

    /// Records a send to the server.
    auto note_sent(const server_instance& server, time_point now) -> void
    {
        this->last_sent[server] = now;
    }

    /// Removes the servers for which `is_gone` returns true.
    auto forget_if(const std::function<auto(const server_instance& server)->bool>& is_gone) -> void;

private:
    struct slot {
        time_point begins;
        common::duration period;
        bool is_open = false;
    };

    [[nodiscard]] auto slot_at(const registration& server, double per_second, time_point now) const
        -> slot;
    [[nodiscard]] auto rank_at(time_point now) const -> entry_rank;
    /// Time of day in seconds, about the same at all entries.
    [[nodiscard]] auto shared_seconds(time_point now) const -> double;

    send_slot_hooks hooks;
    std::unordered_map<server_instance, time_point> last_sent;
    /// Cached rank: one choice queries many servers at the same time.
    mutable entry_rank known_rank;
    mutable time_point rank_known_at = common::never;
};

} // namespace reedramp::routing
