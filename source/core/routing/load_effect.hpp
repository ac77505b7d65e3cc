#pragma once

#include <cstddef>
#include <map>

#include "policy/quality.hpp"
#include "routing/configuration.hpp"

namespace reedramp::routing {

/// How much longer a stream's pauses are on an engine that reads prompts beside it, learned from
/// the streams of one service.
///
/// The pauses of one version differ by 0.4 to 0.6 of their logarithm, nearly all of it by the
/// prompts that are read beside the stream; with that taken out 0.2 to 0.3 is left. So a version
/// three times as slow shows after a few streams, also on servers that have little else to do,
/// where its pauses are no longer than the old version's under its load.
class load_effect {
public:
    /// A stream of the route had pauses of `log_pause` (logarithm of ms) while on average
    /// `reading` tokens of prompts waited at its server, by the load book's count.
    auto note(const route_name& route, double reading, double log_pause) -> void;

    /// `log_pause` as it would be without load.
    [[nodiscard]] auto without_load(double reading, double log_pause) const -> double;

    /// Change of the pause's logarithm for a unit of the load's.
    [[nodiscard]] auto slope() const -> double;

    /// Streams behind it, newest weighted most.
    [[nodiscard]] auto observations() const -> double { return this->count; }

private:
    struct route_means {
        policy::exponential_mean load;
        policy::exponential_mean pause;
    };

    std::map<route_name, route_means> routes;
    /// Sums of squares and products of the distances from the route's means.
    double load_squares = 0.0;
    double products = 0.0;
    double count = 0.0;
};

} // namespace reedramp::routing
