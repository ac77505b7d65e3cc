#include "routing/home_regions.hpp"

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

const common::data_centre_id dc_a{"a"};
const common::data_centre_id dc_b{"b"};

} // namespace

TEST_CASE("requests stay in their home regions", "[homes]")
{
    std::vector<registration> all(3);
    all[0].data_centre = dc_a;
    all[1].data_centre = dc_b;
    all[2].data_centre = common::data_centre_id{"nowhere"};
    const region_map regions{
        {dc_a, common::region_id{"north"}}, {dc_b, common::region_id{"south"}}};
    const auto kept = [&](const std::optional<std::vector<common::region_id>>& homes) {
        std::vector<const registration*> usable{&all[0], &all[1], &all[2]};
        keep_at_home(usable, homes, regions);
        return usable.size();
    };
    CHECK(kept(std::nullopt) == 3);
    // The last region was taken out: none is left, rather than all.
    CHECK(kept(std::vector<common::region_id>{}) == 0);
    CHECK(kept(std::vector{common::region_id{"north"}}) == 1);
    CHECK(kept(std::vector{common::region_id{"north"}, common::region_id{"south"}}) == 2);
    CHECK(kept(std::vector{common::region_id{"west"}}) == 0);
}

} // namespace reedramp::routing
