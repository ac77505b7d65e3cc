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

/// This entry's place among all that send to the same servers.
struct entry_rank {
    /// 0 for the first; each has another one, as far as they know of each other.
    std::size_t number = 0;
    /// How many they are, this one included.
    std::size_t of = 1;
};

struct send_slot_hooks {
    /// Empty: this entry is alone.
    std::function<auto()->entry_rank> place = {};
    /// Milliseconds since 1970, about the same at all entries. Empty: by the clock of the calls.
    std::function<auto()->std::uint64_t> unix_ms = {};
};

/// This entry's part of the requests that a server takes from all entries together: a turn from
/// time to time, good for one request.
///
/// With a rate for each entry, entries need not hear of each other's sends; where that is below one
/// request a second it comes to turns. They follow each other by the entries' places and the time
/// of day, so that they fall evenly: drawn by chance, as many as come together now and then among a
/// hundred entries would pass a bound that is not much above the rate.
class send_slot_schedule {
public:
    explicit send_slot_schedule(send_slot_hooks hooks_to_use) : hooks(std::move(hooks_to_use)) {}

    /// Whether a request may go to the server now, which takes `per_second` from all entries.
    [[nodiscard]] auto may_take(const registration& server, double per_second, time_point now) const
        -> bool
    {
        return this->turn_at(server, per_second, now).is_open;
    }

    /// The next turn at the server, or `now` while one is open.
    [[nodiscard]] auto
    next_turn(const registration& server, double per_second, time_point now) const -> time_point;

    /// A request goes to the server.
    auto note_sent(const server_instance& server, time_point now) -> void
    {
        this->last_sent[server] = now;
    }

    /// Forgets those that `is_gone`.
    auto forget_if(const std::function<auto(const server_instance& server)->bool>& is_gone) -> void;

private:
    struct turn {
        time_point begins;
        common::duration period;
        bool is_open = false;
    };

    [[nodiscard]] auto turn_at(const registration& server, double per_second, time_point now) const
        -> turn;
    [[nodiscard]] auto place_at(time_point now) const -> entry_rank;
    /// Seconds, about the same at all entries.
    [[nodiscard]] auto shared_seconds(time_point now) const -> double;

    send_slot_hooks hooks;
    std::unordered_map<server_instance, time_point> last_sent;
    /// A choice asks for many servers at one moment.
    mutable entry_rank known_place;
    mutable time_point place_known_at = common::never;
};

} // namespace reedramp::routing
