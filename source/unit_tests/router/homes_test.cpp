#include <catch2/catch.hpp>

#include "world.hpp"

namespace reedramp::router::testing {

TEST_CASE("requests run in the regions of their route and organisation alone", "[homes]")
{
    world all;
    all.core->options.regions = {
        {common::data_centre_id{"north-1"}, common::region_id{"north"}},
        {common::data_centre_id{"south-1"}, common::region_id{"south"}}};
    const auto place = [&all](const char* id, const char* data_centre) {
        auto server = *all.core->servers.find(common::server_id{id});
        server.data_centre = common::data_centre_id{data_centre};
        all.core->servers.apply_registration(server, all.now);
    };
    place("a", "north-1");
    place("b", "south-1");
    place("c", "south-1");
    const auto adopt = [&all](std::uint64_t version, const char* of_route, const char* of_owner) {
        auto rules = rules_of(version);
        for (auto& route : rules.rules.routes) {
            route.homes = {common::region_id{of_route}};
        }
        if (*of_owner != 0) {
            rules.rules.organisations.front().homes = {common::region_id{of_owner}};
        }
        all.core->adopt(std::move(rules));
    };
    adopt(2, "north", "");
    for (int i = 0; i < 4; ++i) {
        all.ask("/again/1");
        CHECK(all.last().header("Reedramp-Expect-Server") == "a");
    }
    // A second send keeps to them.
    const auto sends = all.sends();
    all.last().lose(common::execution::unknown);
    CHECK(all.sends() == sends);
    // Both bind; together they leave none.
    adopt(3, "north", "south");
    const auto out = all.ask("/again/1");
    CHECK(all.sends() == sends);
    CHECK(out->status() == 503);
    // The other organisation has none of its own.
    all.ask("/again/1", {{"Reedramp-Key", "key-of-other"}});
    CHECK(all.sends() == sends + 1);
}

} // namespace reedramp::router::testing
