#include <catch2/catch.hpp>

#include "router_fixture.hpp"

namespace reedramp::router::testing {

namespace {

auto turn_on(router_fixture& fixture) -> void
{
    fixture.core->overload_control = overload_state{{.mode = overload::control_mode::on}};
}

/// Sends of a read whose route allows three, with these responses in turn.
auto sends_of_failing_read(bool is_on, const std::vector<std::uint16_t>& statuses) -> std::size_t
{
    router_fixture fixture;
    if (is_on) {
        turn_on(fixture);
    }
    auto changed = rules_of(9);
    for (auto& route : changed.rules.routes) {
        route.max_attempts = 3;
    }
    fixture.core->apply_rules(std::move(changed));
    const auto out = fixture.ask("/again/1");
    for (const auto status : statuses) {
        if (out->status() == 0) {
            fixture.last().answer(status, "failed");
        }
    }
    CHECK(out->status() == statuses.at(fixture.sends() - 1));
    return fixture.sends();
}

} // namespace

TEST_CASE("a read that failed alike at two servers is not sent to a third", "[overload]")
{
    // Guards against full servers that run a read three times which fails everywhere.
    CHECK(sends_of_failing_read(true, {500, 500, 500}) == 2);
    CHECK(sends_of_failing_read(true, {500, 422, 500}) == 3);
    CHECK(sends_of_failing_read(true, {500, 200}) == 2);
    CHECK(sends_of_failing_read(false, {500, 500, 500}) == 3);
}

} // namespace reedramp::router::testing
