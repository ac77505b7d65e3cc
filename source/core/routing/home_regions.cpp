#include "routing/home_regions.hpp"

#include <algorithm>

namespace reedramp::routing {

auto keep_at_home(
    std::vector<const registration*>& usable,
    const std::optional<std::vector<common::region_id>>& homes,
    const region_map& regions) -> void
{
    if (!homes) {
        return;
    }
    std::erase_if(usable, [&](const auto* server) {
        const auto region = regions.find(server->data_centre);
        return region == regions.end() || std::ranges::find(*homes, region->second) == homes->end();
    });
}

} // namespace reedramp::routing
