#include "routing/server_limiter.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::routing {

server_limiter::server_limiter(server_limiter_options options, send_slot_hooks hooks)
    : settings(options), turns(std::move(hooks))
{
}

auto server_limiter::aimed_per_second(
    const registration& server, double cold_per_second, time_point now) const
    -> std::optional<double>
{
    auto limit = this->limit_of(server);
    if (limit) {
        limit = std::max(*limit * this->settings.limit_part, this->settings.least_per_second);
    }
    if (!is_spared(server, cold_per_second, now)) {
        return limit;
    }
    const auto borne = cold_per_second * this->settings.cold_excess + this->settings.cold_slack;
    const auto cold = borne * this->settings.cold_part;
    return std::min(limit.value_or(cold), cold);
}

auto server_limiter::note_rest(const server_instance& server, time_point until) -> void
{
    auto& known = this->rests[server];
    known = std::max(known, until);
}

auto server_limiter::rests_until(const registration& server) const -> time_point
{
    if (this->rests.empty()) {
        return {};
    }
    const auto found = this->rests.find(server.start());
    return found == this->rests.end() ? time_point{} : found->second;
}

auto server_limiter::takes_few(const registration& server, time_point now) const -> bool
{
    return server.is_cold(now) || this->is_limited(server) || this->rests_until(server) > now;
}

auto server_limiter::may_take(
    const registration& server, double cold_per_second, time_point now) const -> bool
{
    if (this->rests_until(server) > now) {
        return false;
    }
    const auto aimed = this->aimed_per_second(server, cold_per_second, now);
    return !aimed || this->turns.may_take(server, *aimed, now);
}

auto server_limiter::next_turn(
    const registration& server, double cold_per_second, time_point now) const -> time_point
{
    const auto rested = std::max(this->rests_until(server), now);
    const auto aimed = this->aimed_per_second(server, cold_per_second, now);
    if (!aimed || rested > now) {
        return rested;
    }
    const auto next = this->turns.next_turn(server, *aimed, now);
    // It takes all once it is warm, unless it has named a limit.
    return this->is_limited(server) ? next : std::min(next, server.cold_until);
}

auto server_limiter::takes_callers_at(
    const registration& server, double cold_per_second, time_point now) const -> time_point
{
    return this->is_limited(server) ? this->next_turn(server, cold_per_second, now)
                                    : std::max({server.cold_until, this->rests_until(server), now});
}

auto server_limiter::note_sent(const registration& server, double cold_per_second, time_point now)
    -> void
{
    if (this->aimed_per_second(server, cold_per_second, now)) {
        this->turns.note_sent(server.start(), now);
    }
}

auto server_limiter::forget_if(
    const std::function<auto(const server_instance& server)->bool>& is_gone, time_point now) -> void
{
    this->turns.forget_if(is_gone);
    std::erase_if(this->rests, [now](const auto& item) { return item.second <= now; });
    this->named.forget_old(now);
}

} // namespace reedramp::routing
