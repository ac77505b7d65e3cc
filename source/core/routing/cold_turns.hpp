#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

#include "routing/server_start.hpp"
#include "routing/server_table.hpp"

namespace reedramp::routing {

struct cold_options {
    /// A cold server bears this many times its service's rate, and this many requests more, in a
    /// second; above that it fails.
    double excess = 1.0;
    double slack = 0.0;
    /// The part of that which all entries together aim at. Views of how many entries there are may
    /// differ by half, turns of different entries may fall together, and a turn that opened late in
    /// one second may be used early in the next.
    double aimed_part = 0.25;
    /// How long a turn lasts. Turns that were saved up would all be used in the moment in which
    /// callers return.
    common::duration turn_time = std::chrono::milliseconds{250};
};

/// This entry's part of what a cold server bears from all entries together: a turn from time to
/// time, good for one request.
///
/// A server that has just started bears few requests a second, looks the emptiest to every entry,
/// and shows that it no longer does a second later: all sent to it at once. With a rate for each
/// entry, entries need not hear of each other's sends; where that is below one request a second it
/// comes to turns, at moments that differ between entries and servers.
class cold_turns {
public:
    /// `self` differs between entries. `entries` tells how many share a server, this one included;
    /// empty: this one alone.
    cold_turns(
        cold_options options, std::uint64_t self, std::function<auto()->std::size_t> entries = {});

    /// Whether the server takes requests in turns, where a cold one of its service bears
    /// `per_second`; 0 if it bears all.
    [[nodiscard]] static auto
    applies_to(const registration& server, double per_second, time_point now) -> bool
    {
        return per_second > 0.0 && server.is_cold(now);
    }

    /// Whether a request may go to the server; `per_second` as above.
    [[nodiscard]] auto may_take(const registration& server, double per_second, time_point now) const
        -> bool;

    /// The next turn at the server, or `now` while one is open.
    [[nodiscard]] auto
    next_turn(const registration& server, double per_second, time_point now) const -> time_point;

    /// A request goes to the server.
    auto note_sent(const registration& server, time_point now) -> void;

    /// Forgets those that `is_gone`.
    auto forget_if(const std::function<auto(const server_start& server)->bool>& is_gone) -> void;

private:
    struct turn {
        time_point begins;
        common::duration period;
        bool is_open = false;
    };

    [[nodiscard]] auto turn_at(const registration& server, double per_second, time_point now) const
        -> turn;

    cold_options settings;
    std::uint64_t self;
    std::function<auto()->std::size_t> entries;
    std::unordered_map<server_start, time_point> last_sent;
};

} // namespace reedramp::routing
