#pragma once

#include <cstddef>
#include <map>

#include "policy/quality.hpp"
#include "routing/configuration.hpp"

namespace reedramp::routing {

/// Estimates how much longer a stream's pauses are while its engine reads other prompts, from the
/// streams of one service.
///
/// The pauses of one version vary by 0.4 to 0.6 in their logarithm, almost entirely because of the
/// prompts that are read concurrently; with that effect removed, 0.2 to 0.3 remain. A version that
/// is three times as slow therefore shows after a few streams, even on servers with little other
/// work, where its pauses are no longer than the old version's under its load.
class load_effect {
public:
    /// Records a stream of the route with a mean pause of `log_pause` (logarithm of ms), while on
    /// average `reading` prompt tokens were waiting at its server according to the load tracker.
    auto note(const route_name& route, double reading, double log_pause) -> void;

    /// Returns `log_pause` as it would be without load.
    [[nodiscard]] auto without_load(double reading, double log_pause) const -> double;

    /// Change of the pause's logarithm per unit of the load's logarithm.
    [[nodiscard]] auto slope() const -> double;

    /// Number of streams behind the estimate, weighted towards the newest.
    [[nodiscard]] auto observations() const -> double { return this->count; }

private:
    struct route_means {
        policy::exponential_mean load;
        policy::exponential_mean pause;
    };

    std::map<route_name, route_means> routes;
    /// Weighted sums of squares and products of the deviations from the route's means.
    double load_squares = 0.0;
    double products = 0.0;
    double count = 0.0;
};

} // namespace reedramp::routing
