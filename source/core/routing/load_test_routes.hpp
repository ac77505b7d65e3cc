#pragma once

#include <cstdint>
#include <map>

#include "common/ids.hpp"
#include "policy/quality.hpp"
#include "routing/configuration.hpp"

namespace reedramp::routing {

/// How well a route's requests fill a server.
enum class fill_level : std::uint8_t {
    /// They take much reading for the time that they hold a slot.
    little,
    some,
    /// Among the best of their service.
    most,
};

/// Tells which routes of a service fill a server best: those with the longest answers for their
/// prompts.
///
/// A stream holds a slot while it is generated. One with a long prompt and a short answer keeps the
/// server busy without holding one, so that a load test with all routes reads prompts for seconds
/// and never reaches a high occupancy.
class load_test_routes {
public:
    /// Records the work of a request's prompt and answer.
    auto
    note(const common::service_name& service, const route_name& route, double prompt, double answer)
        -> void;

    /// `most` while nothing is known of the service.
    [[nodiscard]] auto level_of(const common::service_name& service, const route_name& route) const
        -> fill_level;

private:
    /// Mean part of the answer in the work of a route's requests.
    std::map<common::service_name, std::map<route_name, policy::exponential_mean>> answer_parts;
};

} // namespace reedramp::routing
