#pragma once

#include <functional>
#include <optional>
#include <unordered_map>

#include "routing/send_slot_schedule.hpp"
#include "routing/server_limits.hpp"

namespace reedramp::routing {

struct server_limiter_options {
    /// A cold server bears this many times its service's rate, and this many requests more, in a
    /// second; above that it fails.
    double cold_excess = 1.0;
    double cold_slack = 0.0;
    /// The part of that which all entries together aim at. Views of how many entries there are may
    /// differ by half, and a turn that opened late in one second may be used early in the next.
    double cold_part = 0.25;
    /// The part of a limit that a server has named: half of the entries may take themselves for
    /// all, when the others have just started.
    double limit_part = 0.8;
    /// A server is asked so many times a second at the least, whatever limit it has named: no
    /// answer could take the limit back else.
    double least_per_second = 0.1;
};

/// What servers take: how many requests a second from all entries together, with this entry's part
/// of that, and none for a time from an entry that a server asks for rest. A server that is cold,
/// or that has named a limit, takes requests in turns; any other one takes all.
class server_limiter {
public:
    server_limiter(server_limiter_options options, send_slot_hooks hooks);

    /// What servers have named in their answers.
    [[nodiscard]] auto limits() -> server_limits& { return this->named; }

    [[nodiscard]] auto limits() const -> const server_limits& { return this->named; }

    /// Whether the server is cold, where a cold one of its service bears `cold_per_second`; 0 if it
    /// bears all.
    [[nodiscard]] static auto
    is_spared(const registration& server, double cold_per_second, time_point now) -> bool
    {
        return cold_per_second > 0.0 && server.is_cold(now);
    }

    /// Whether the server has named a limit.
    [[nodiscard]] auto is_limited(const registration& server) const -> bool
    {
        return this->limit_of(server).has_value();
    }

    /// Whether it takes fewer requests than others: it is cold, limited, or rests.
    [[nodiscard]] auto takes_few(const registration& server, time_point now) const -> bool;

    /// The server wants nothing from this entry before `until`. Of two rests the later end counts.
    auto note_rest(const server_instance& server, time_point until) -> void;

    /// Until when it wants nothing; a moment that has passed if it takes requests.
    [[nodiscard]] auto rests_until(const registration& server) const -> time_point;

    /// Whether a request may go to the server now; `cold_per_second` as above, here and below.
    [[nodiscard]] auto
    may_take(const registration& server, double cold_per_second, time_point now) const -> bool;

    /// When a request may go to the server next: `now` where it may.
    [[nodiscard]] auto
    next_turn(const registration& server, double cold_per_second, time_point now) const
        -> time_point;

    /// When a caller should come back for the server that finds none now: at the next turn while it
    /// has a limit, which may last; else when it takes all again.
    [[nodiscard]] auto
    takes_callers_at(const registration& server, double cold_per_second, time_point now) const
        -> time_point;

    /// A request goes to the server.
    auto note_sent(const registration& server, double cold_per_second, time_point now) -> void;

    /// Forgets servers that `is_gone`, and words of long ago.
    auto forget_if(
        const std::function<auto(const server_instance& server)->bool>& is_gone, time_point now)
        -> void;

private:
    // Most of the time no server has asked for anything, and a choice looks at a dozen: nothing is
    // looked up then.
    [[nodiscard]] auto limit_of(const registration& server) const -> std::optional<double>
    {
        return this->named.has_any() ? this->named.per_second(server.start()) : std::nullopt;
    }

    /// Requests a second that all entries aim at; none: any number.
    [[nodiscard]] auto
    aimed_per_second(const registration& server, double cold_per_second, time_point now) const
        -> std::optional<double>;

    server_limiter_options settings;
    server_limits named;
    send_slot_schedule turns;
    std::unordered_map<server_instance, time_point> rests;
};

} // namespace reedramp::routing
