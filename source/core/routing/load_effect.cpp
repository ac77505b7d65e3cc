#include "routing/load_effect.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::routing {

namespace {

/// Prompt tokens, of the largest model, that an engine reads in about one step. Fewer have no
/// noticeable effect.
constexpr double tokens_in_a_step = 300.0;
/// Number of streams that the estimate averages over: some ten seconds at a busy entry.
constexpr double memory = 300.0;
/// Prior estimate, and the number of streams that it counts for. Engines that read prompts in
/// chunks between their steps showed 0.26 to 0.49 on three services.
constexpr double prior_slope = 0.33;
constexpr double prior_weight = 20.0;
/// The slope is at least 0 and at most 1: load never makes an engine faster, nor pauses longer than
/// in proportion.
constexpr double max_slope = 1.0;
/// Minimum weight of a route's means before they are used.
constexpr double min_weight = 5.0;
/// Larger deviations have another cause: a server that hung, or a clock that stepped.
constexpr double max_distance = 4.0;

auto log_load(double reading) -> double
{
    const double sound = std::isfinite(reading) ? std::max(reading, 0.0) : 0.0;
    return std::log1p(sound / tokens_in_a_step);
}

} // namespace

auto load_effect::note(const route_name& route, double reading, double log_pause) -> void
{
    if (!std::isfinite(log_pause)) {
        return;
    }
    auto& means = this->routes[route];
    const double load = log_load(reading);
    const bool is_known = means.load.weight() >= min_weight;
    const double load_distance = load - means.load.mean();
    const double pause_distance = log_pause - means.pause.mean();
    if (is_known && std::abs(pause_distance) <= max_distance) {
        constexpr double kept = 1.0 - 1.0 / memory;
        this->load_squares = this->load_squares * kept + load_distance * load_distance;
        this->products = this->products * kept + load_distance * pause_distance;
        this->count = this->count * kept + 1.0;
    }
    means.load.add(load, memory);
    means.pause.add(log_pause, memory);
}

auto load_effect::slope() const -> double
{
    const double found =
        (this->products + prior_weight * prior_slope) / (this->load_squares + prior_weight);
    return std::clamp(found, 0.0, max_slope);
}

auto load_effect::without_load(double reading, double log_pause) const -> double
{
    return log_pause - this->slope() * log_load(reading);
}

} // namespace reedramp::routing
