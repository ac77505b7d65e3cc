#include "routing/load_effect.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace reedramp::routing {

namespace {

/// Number of streams that the estimate averages over: some ten seconds at a busy entry.
constexpr double memory = 300.0;
/// Number of streams that the prior estimate counts for.
constexpr double prior_weight = 20.0;
/// The slope is at least 0 and at most 1: load never makes an engine faster, nor times longer than
/// in proportion.
constexpr double max_slope = 1.0;
/// Minimum weight of a route's means before they are used.
constexpr double min_weight = 5.0;
/// Larger deviations have another cause: a server that hung, or a clock that stepped.
constexpr double max_distance = 4.0;

} // namespace

auto load_effect::log_load(double load) const -> double
{
    const double sound = std::isfinite(load) ? std::max(load, 0.0) : 0.0;
    return std::log1p(sound / this->settings.unit);
}

auto load_effect::highest_usual_load() const -> double
{
    if (this->loads.weight() < prior_weight) {
        return std::numeric_limits<double>::infinity();
    }
    constexpr double standard_deviations = 2.0;
    return this->loads.mean() + standard_deviations * std::sqrt(this->loads.variance());
}

auto load_effect::note(const route_name& route, double load, double log_time) -> void
{
    if (!std::isfinite(log_time)) {
        return;
    }
    auto& means = this->routes[route];
    const double log_of_load = this->log_load(load);
    const bool is_known = means.load.weight() >= min_weight;
    const double load_distance = log_of_load - means.load.mean();
    const double time_distance = log_time - means.time.mean();
    if (is_known && std::abs(time_distance) <= max_distance) {
        constexpr double kept = 1.0 - 1.0 / memory;
        this->load_squares = this->load_squares * kept + load_distance * load_distance;
        this->products = this->products * kept + load_distance * time_distance;
        this->count = this->count * kept + 1.0;
    }
    means.load.add(log_of_load, memory);
    means.time.add(log_time, memory);
    this->loads.add(log_of_load, memory);
}

auto load_effect::slope() const -> double
{
    const double found = (this->products + prior_weight * this->settings.prior_slope) /
                         (this->load_squares + prior_weight);
    return std::clamp(found, 0.0, max_slope);
}

auto load_effect::without_load(double load, double log_time) const -> double
{
    return log_time - this->slope() * this->log_load(load);
}

auto load_effect::beyond_usual(const route_name& route, double load) const -> double
{
    const auto known = this->routes.find(route);
    if (known == this->routes.end()) {
        return 0.0;
    }
    const double log_of_load = this->log_load(load);
    const double usual = std::min(log_of_load, this->highest_usual_load());
    const double slope_beyond = std::max(this->slope(), this->settings.min_slope_beyond);
    return std::max(0.0, this->slope() * (usual - known->second.load.mean())) +
           slope_beyond * (log_of_load - usual);
}

} // namespace reedramp::routing
