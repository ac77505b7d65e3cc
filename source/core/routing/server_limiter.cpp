#include "routing/server_limiter.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::routing {

server_limiter::server_limiter(server_limiter_options options, send_slot_hooks hooks)
    : settings(options), slots(std::move(hooks))
{
}

auto server_limiter::target_per_second(
    const registration& server, double cold_per_second, time_point now) const
    -> std::optional<double>
{
    auto limit = this->limit_of(server);
    if (limit) {
        limit = std::max(*limit * this->settings.limit_fraction, this->settings.min_per_second);
    }
    if (!is_limited_as_cold(server, cold_per_second, now)) {
        return limit;
    }
    const auto borne = cold_per_second * this->settings.cold_excess + this->settings.cold_slack;
    const auto cold = borne * this->settings.cold_fraction;
    return std::min(limit.value_or(cold), cold);
}

auto server_limiter::note_backoff(const server_instance& server, time_point until) -> void
{
    auto& known = this->backoffs[server];
    known = std::max(known, until);
}

auto server_limiter::backoff_until(const registration& server) const -> time_point
{
    if (this->backoffs.empty()) {
        return {};
    }
    const auto found = this->backoffs.find(server.instance());
    return found == this->backoffs.end() ? time_point{} : found->second;
}

auto server_limiter::is_restricted(const registration& server, time_point now) const -> bool
{
    return server.is_cold(now) || this->is_limited(server) || this->backoff_until(server) > now;
}

auto server_limiter::may_send(
    const registration& server, double cold_per_second, time_point now) const -> bool
{
    if (this->backoff_until(server) > now) {
        return false;
    }
    const auto target = this->target_per_second(server, cold_per_second, now);
    return !target || this->slots.may_send(server, *target, now);
}

auto server_limiter::next_slot(
    const registration& server, double cold_per_second, time_point now) const -> time_point
{
    const auto earliest = std::max(this->backoff_until(server), now);
    const auto target = this->target_per_second(server, cold_per_second, now);
    if (!target || earliest > now) {
        return earliest;
    }
    const auto next = this->slots.next_slot(server, *target, now);
    // Once warm it accepts all requests, unless it stated a limit.
    return this->is_limited(server) ? next : std::min(next, server.cold_until);
}

auto server_limiter::caller_retry_at(
    const registration& server, double cold_per_second, time_point now) const -> time_point
{
    return this->is_limited(server)
               ? this->next_slot(server, cold_per_second, now)
               : std::max({server.cold_until, this->backoff_until(server), now});
}

auto server_limiter::note_sent(const registration& server, double cold_per_second, time_point now)
    -> void
{
    if (this->target_per_second(server, cold_per_second, now)) {
        this->slots.note_sent(server.instance(), now);
    }
}

auto server_limiter::forget_if(
    const std::function<auto(const server_instance& server)->bool>& is_gone, time_point now) -> void
{
    this->slots.forget_if(is_gone);
    std::erase_if(this->backoffs, [now](const auto& item) { return item.second <= now; });
    this->stated.forget_old(now);
}

} // namespace reedramp::routing
