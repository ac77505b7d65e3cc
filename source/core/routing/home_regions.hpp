#pragma once

#include <map>
#include <optional>
#include <vector>

#include "common/ids.hpp"
#include "routing/server_table.hpp"

namespace reedramp::routing {

using region_map = std::map<common::data_centre_id, common::region_id>;

/// Keeps the servers that are in one of the regions `homes`; keeps all if none are configured. A
/// data centre whose region is unknown is in none of them.
auto keep_at_home(
    std::vector<const registration*>& usable,
    const std::optional<std::vector<common::region_id>>& homes,
    const region_map& regions) -> void;

} // namespace reedramp::routing
