#pragma once

#include <cstddef>
#include <map>

#include "policy/quality.hpp"
#include "routing/configuration.hpp"

namespace reedramp::routing {

/// What a load effect assumes before it has seen a stream.
struct load_effect_options {
    /// A load that has no noticeable effect yet: prompt tokens, of the largest model, that an
    /// engine reads in about one step.
    double unit = 300.0;
    /// Engines that read prompts in chunks between their steps showed 0.26 to 0.49 on three
    /// services.
    double prior_slope = 0.33;
    /// Slope for the part of a load that exceeds what the old version's streams have been under, if
    /// that is more than the estimated one.
    double min_slope_beyond = 0.0;
};

/// Estimates how much longer a stream's pauses, or its first event, take under load, from the
/// streams of one service. The load is the prompts that its engine reads meanwhile, or its number
/// of requests.
///
/// The pauses of one version vary by 0.4 to 0.6 in their logarithm, almost entirely because of the
/// prompts that are read concurrently; with that effect removed, 0.2 to 0.3 remain. A version that
/// is three times as slow therefore shows after a few streams, even on servers with little other
/// work, where its pauses are no longer than the old version's under its load.
///
/// A server that is filled for a load test may be under more load than any stream of the old
/// version has been, where the estimate says little. `min_slope_beyond` is for effects that are
/// known to be at least that large there.
class load_effect {
public:
    explicit load_effect(load_effect_options options = {}) : settings(options) {}

    /// Records a stream of the route with a time of `log_time` (logarithm of ms), under an average
    /// `load` at its server according to the load tracker.
    auto note(const route_name& route, double load, double log_time) -> void;

    /// Returns `log_time` as it would be without load.
    [[nodiscard]] auto without_load(double load, double log_time) const -> double;

    /// Returns by how much the logarithm of a time is larger under `load` than under the old
    /// version's mean load of the route; 0 if the load is smaller, or that mean unknown.
    [[nodiscard]] auto beyond_usual(const route_name& route, double load) const -> double;

    /// Change of the time's logarithm per unit of the load's logarithm.
    [[nodiscard]] auto slope() const -> double;

    /// Number of streams behind the estimate, weighted towards the newest.
    [[nodiscard]] auto observations() const -> double { return this->count; }

private:
    struct route_means {
        policy::exponential_mean load;
        policy::exponential_mean time;
    };

    [[nodiscard]] auto log_load(double load) const -> double;
    /// Logarithm of the largest load that streams have commonly been under.
    [[nodiscard]] auto highest_usual_load() const -> double;

    load_effect_options settings;
    std::map<route_name, route_means> routes;
    /// Logarithms of the loads of all streams.
    policy::exponential_mean loads;
    /// Weighted sums of squares and products of the deviations from the route's means.
    double load_squares = 0.0;
    double products = 0.0;
    double count = 0.0;
};

} // namespace reedramp::routing
