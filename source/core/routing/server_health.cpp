#include "routing/server_health.hpp"

#include <algorithm>

namespace reedramp::routing {

auto server_health::note(const common::server_id& server, server_outcome outcome, time_point now)
    -> void
{
    auto& of = this->servers[server];
    if (outcome == server_outcome::refused) {
        // Full is no fault; the load book keeps work away from it.
        return;
    }
    const double value = outcome == server_outcome::good ? 0.0 : 1.0;
    of.failures += this->settings.memory * (value - of.failures);
    constexpr double mean_memory = 0.02;
    this->mean_failures += mean_memory * (value - this->mean_failures);
    if (outcome == server_outcome::good) {
        of.rests = 0;
        return;
    }
    const bool is_bad = of.failures > this->mean_failures + this->settings.excess;
    if (outcome == server_outcome::unreachable || is_bad) {
        this->rest(of, now);
    }
}

auto server_health::is_resting(const common::server_id& server, time_point now) const -> bool
{
    const auto found = this->servers.find(server);
    return found != this->servers.end() && found->second.rests_until > now;
}

auto server_health::failures(const common::server_id& server) const -> double
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? 0.0 : found->second.failures;
}

auto server_health::rest(record& of, time_point now) const -> void
{
    if (of.rests_until > now) {
        return; // Requests that were under way there end one after the other; they count once.
    }
    auto time = this->settings.first_rest;
    for (unsigned i = 0; i < of.rests && time < this->settings.longest_rest; ++i) {
        time *= 2;
    }
    of.rests += 1;
    of.rests_until = now + std::min(time, this->settings.longest_rest);
}

} // namespace reedramp::routing
