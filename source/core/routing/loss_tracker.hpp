#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "common/units.hpp"
#include "routing/configuration.hpp"
#include "routing/version_evidence.hpp"

namespace reedramp::routing {

using common::time_point;

/// Collects requests whose server was lost while it executed them during a roll-out, until it is
/// clear what that says about the server's version.
///
/// When a rack or a power line fails, servers of both versions are lost at the same time. If each
/// lost request counted against the old version's usual error rate, such an event would make every
/// entry reject a good new version. The losses of one version are therefore offset by those of the
/// other version within the same second, in proportion to the requests that each had in flight;
/// only the excess counts. A version that crashes its own servers is still found, one second later.
class loss_tracker {
public:
    struct loss {
        time_point at;
        version_side side = version_side::old;
        route_name route;
        /// Requests that this entry had in flight on the new version and on other versions.
        unsigned in_flight_new = 0;
        unsigned in_flight_old = 0;
    };

    auto note(loss one) -> void { this->losses.push_back(std::move(one)); }

    /// Returns the losses of completed time windows that count against their version. Returns each
    /// loss once.
    auto settled(time_point now) -> std::vector<loss>;

private:
    std::deque<loss> losses;
};

} // namespace reedramp::routing
