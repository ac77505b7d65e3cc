#pragma once

#include <map>
#include <vector>

#include "common/ids.hpp"
#include "routing/server_table.hpp"

namespace reedramp::routing {

using region_map = std::map<common::data_centre_id, common::region_id>;

/// Leaves the servers in one of `homes`; all, where these are empty. A data centre of no known
/// region lies in none.
auto keep_at_home(
    std::vector<const registration*>& usable,
    const std::vector<common::region_id>& homes,
    const region_map& regions) -> void;

} // namespace reedramp::routing
