#include "router/overload_state.hpp"

#include <algorithm>

namespace reedramp::router {

namespace {

auto shortest_target(const routing::route_table& rules, const common::service_name& service)
    -> std::chrono::milliseconds
{
    std::chrono::milliseconds shortest{0};
    for (const auto& route : rules.rules().routes) {
        const bool is_to_service = std::ranges::any_of(
            route.targets, [&service](const auto& target) { return target.service == service; });
        const bool is_shorter = shortest.count() == 0 || route.target < shortest;
        if (is_to_service && route.target.count() > 0 && is_shorter) {
            shortest = route.target;
        }
    }
    return shortest;
}

} // namespace

auto view_service(
    const common::service_name& service,
    std::chrono::milliseconds shortest,
    const service_trackers& trackers,
    time_point now) -> overload::service_view
{
    overload::service_view view;
    view.shortest_target = shortest;
    const auto& usable = trackers.servers.usable(service);
    if (usable.empty()) {
        return view;
    }
    const auto* known = trackers.rules.find_service(service);
    routing::server_load sum;
    double slots = 0.0;
    for (const auto* server : usable) {
        const auto load = trackers.loads.total(server->instance(), now);
        sum.requests += load.requests;
        sum.reading += load.reading;
        sum.memory += load.memory;
        slots += server->slots;
    }
    const auto count = static_cast<double>(usable.size());
    view.slots_used = slots > 0.0 ? sum.requests / slots : 0.0;
    if (known != nullptr && known->memory_tokens > 0) {
        view.memory_used = sum.memory / (count * static_cast<double>(known->memory_tokens));
    }
    view.reading_wait = trackers.speeds.expected_queueing(sum.reading / count);
    return view;
}

overload_state::overload_state(overload_options options_to_use) : options(options_to_use) {}

auto overload_state::is_in_force() const -> bool
{
    switch (this->options.mode) {
    case overload::control_mode::off:
        return false;
    case overload::control_mode::on:
        return true;
    case overload::control_mode::automatic:
        return this->options.is_declared || this->has_stated_speed;
    }
    return false;
}

auto overload_state::pressure(
    const common::service_name& service, const service_trackers& trackers, time_point now) -> double
{
    if (!this->is_in_force()) {
        return 0.0;
    }
    auto& state = this->services[service];
    if (now < state.refresh_at) {
        return state.gauge.level();
    }
    if (state.rules_version != trackers.rules.version()) {
        state.rules_version = trackers.rules.version();
        state.shortest_target = shortest_target(trackers.rules, service);
    }
    state.gauge.update(
        overload::pressure_of(view_service(service, state.shortest_target, trackers, now)), now);
    state.refresh_at = now + this->options.refresh;
    return state.gauge.level();
}

} // namespace reedramp::router
