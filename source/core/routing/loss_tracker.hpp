#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "common/units.hpp"
#include "routing/configuration.hpp"
#include "routing/version_evidence.hpp"

namespace reedramp::routing {

using common::time_point;

/// Requests under a roll-out whose server was lost in their midst, until it is known what that says
/// of its version.
///
/// When a rack or a power line fails, servers of both versions go in one moment. Counted request by
/// request against what was usual of the old version, such a moment was proof that a good new one
/// is worse, at every entry. So what one version loses is set off against what the other one loses
/// in the same second, by the requests that each had under way; what is left over counts. A version
/// that ends its own servers is found as before, a second later.
class loss_tracker {
public:
    struct loss {
        time_point at;
        version_side side = version_side::old;
        route_name route;
        /// Requests that this entry had under way on the new version and on others.
        unsigned under_way_new = 0;
        unsigned under_way_old = 0;
    };

    auto note(loss one) -> void { this->losses.push_back(std::move(one)); }

    /// Losses of moments that are over, as far as they speak against their version. Each is given
    /// once.
    auto settled(time_point now) -> std::vector<loss>;

private:
    std::deque<loss> losses;
};

} // namespace reedramp::routing
