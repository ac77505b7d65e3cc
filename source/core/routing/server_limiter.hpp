#pragma once

#include <functional>
#include <optional>
#include <unordered_map>

#include "routing/send_slot_schedule.hpp"
#include "routing/server_limits.hpp"

namespace reedramp::routing {

struct server_limiter_options {
    /// A cold server can handle its service's cold rate times `cold_excess`, plus `cold_slack`
    /// requests, per second; it fails above that.
    double cold_excess = 1.0;
    double cold_slack = 0.0;
    /// The fraction of that which all entries together use. Entries' views of their number may
    /// differ by half, and a slot that opened late in one second may be used early in the next.
    double cold_fraction = 0.25;
    /// The fraction of a server's stated limit which all entries together use: half of the entries
    /// may believe that they are all, if the others have just started.
    double limit_fraction = 0.8;
    /// Minimum request rate of a server, whatever limit it stated: otherwise no answer could lift
    /// the limit.
    double min_per_second = 0.1;
};

/// Limits the requests to servers: a rate over all entries, of which this entry uses its part, and
/// no requests during a backoff that a server asked of this entry. A server that is cold, or that
/// stated a limit, receives requests only in send slots; other servers are not limited.
class server_limiter {
public:
    server_limiter(server_limiter_options options, send_slot_hooks hooks);

    /// The limits that servers stated in their responses.
    [[nodiscard]] auto limits() -> server_limits& { return this->stated; }

    [[nodiscard]] auto limits() const -> const server_limits& { return this->stated; }

    /// Whether the server is limited because it is cold. `cold_per_second` is the rate that a cold
    /// server of its service can handle; 0 if it needs no limit.
    [[nodiscard]] static auto
    is_limited_as_cold(const registration& server, double cold_per_second, time_point now) -> bool
    {
        return cold_per_second > 0.0 && server.is_cold(now);
    }

    /// Whether the server stated a limit.
    [[nodiscard]] auto is_limited(const registration& server) const -> bool
    {
        return this->limit_of(server).has_value();
    }

    /// Whether it accepts fewer requests than others: it is cold, limited, or asked for a backoff.
    [[nodiscard]] auto is_restricted(const registration& server, time_point now) const -> bool;

    /// Records that the server wants no requests from this entry before `until`. Of two backoffs
    /// the later end counts.
    auto note_backoff(const server_instance& server, time_point until) -> void;

    /// Returns the end of its backoff; a time in the past if there is none.
    [[nodiscard]] auto backoff_until(const registration& server) const -> time_point;

    /// Whether a request may be sent to the server now; `cold_per_second` as above, here and below.
    [[nodiscard]] auto
    may_send(const registration& server, double cold_per_second, time_point now) const -> bool;

    /// Returns when a request may next be sent to the server: `now` if it may at once.
    [[nodiscard]] auto
    next_slot(const registration& server, double cold_per_second, time_point now) const
        -> time_point;

    /// Returns when a caller should retry if the server can't be used now: at the next slot if it
    /// has a limit, which may last; otherwise when it accepts all requests again.
    [[nodiscard]] auto
    caller_retry_at(const registration& server, double cold_per_second, time_point now) const
        -> time_point;

    /// Records a send to the server.
    auto note_sent(const registration& server, double cold_per_second, time_point now) -> void;

    /// Removes the servers for which `is_gone` returns true, and expired backoffs and limits.
    auto forget_if(
        const std::function<auto(const server_instance& server)->bool>& is_gone, time_point now)
        -> void;

private:
    // Usually no server has stated a limit, and a choice checks a dozen servers: the lookup is
    // skipped then.
    [[nodiscard]] auto limit_of(const registration& server) const -> std::optional<double>
    {
        return this->stated.has_any() ? this->stated.per_second(server.instance()) : std::nullopt;
    }

    /// Request rate that all entries together aim at; empty if unlimited.
    [[nodiscard]] auto
    target_per_second(const registration& server, double cold_per_second, time_point now) const
        -> std::optional<double>;

    server_limiter_options settings;
    server_limits stated;
    send_slot_schedule slots;
    std::unordered_map<server_instance, time_point> backoffs;
};

} // namespace reedramp::routing
