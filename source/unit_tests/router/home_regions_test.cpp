#include <catch2/catch.hpp>

#include "router_fixture.hpp"

namespace reedramp::router::testing {

TEST_CASE("requests run only in the regions of their route and organisation", "[homes]")
{
    router_fixture fixture;
    fixture.core->options.regions = {
        {common::data_centre_id{"north-1"}, common::region_id{"north"}},
        {common::data_centre_id{"south-1"}, common::region_id{"south"}}};
    const auto move_server = [&fixture](const char* id, const char* data_centre) {
        auto server = *fixture.core->servers.find(common::server_id{id});
        server.data_centre = common::data_centre_id{data_centre};
        fixture.core->servers.apply_registration(server, fixture.now);
    };
    move_server("a", "north-1");
    move_server("b", "south-1");
    move_server("c", "south-1");
    const auto apply_rules =
        [&fixture](std::uint64_t version, const char* of_route, const char* of_owner) {
            auto rules = rules_of(version);
            for (auto& route : rules.rules.routes) {
                route.homes = std::vector{common::region_id{of_route}};
            }
            if (*of_owner != 0) {
                rules.rules.organisations.front().homes = std::vector{common::region_id{of_owner}};
            }
            fixture.core->apply_rules(std::move(rules));
        };
    apply_rules(2, "north", "");
    for (int i = 0; i < 4; ++i) {
        fixture.ask("/again/1");
        CHECK(fixture.last().header("Reedramp-Expect-Server") == "a");
    }
    // A further send stays in them.
    const auto sends = fixture.sends();
    fixture.last().lose(common::execution::unknown);
    CHECK(fixture.sends() == sends);
    // Both restrictions apply; together they leave no region.
    apply_rules(3, "north", "south");
    const auto out = fixture.ask("/again/1");
    CHECK(fixture.sends() == sends);
    CHECK(out->status() == 503);
    // The other organisation has no restriction of its own.
    fixture.ask("/again/1", {{"Reedramp-Key", "key-of-other"}});
    CHECK(fixture.sends() == sends + 1);
}

} // namespace reedramp::router::testing
