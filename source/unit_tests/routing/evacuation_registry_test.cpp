#include <algorithm>
#include <random>

#include <catch2/catch.hpp>

#include "routing/evacuation_registry.hpp"

namespace reedramp::routing {

namespace {

const common::data_centre_id dc_a{"a"};
const common::data_centre_id dc_b{"b"};

auto at(std::uint64_t offset, std::uint64_t era = 0) -> stream_position
{
    return stream_position::at(era, offset);
}

} // namespace

TEST_CASE("an evacuation holds until its record is removed", "[evacuation]")
{
    evacuation_registry registry;
    CHECK(registry.apply_orders({{dc_a, true, at(4)}}, at(5)).evacuated == std::vector{dc_a});
    CHECK(registry.apply_orders({}, at(7)).is_empty());
    CHECK(registry.evacuated() == std::set{dc_a});
    CHECK(registry.apply_orders({{dc_a, false, at(7)}}, at(8)).lifted == std::vector{dc_a});
    CHECK(registry.evacuated().empty());
}

TEST_CASE("a complete reading without an evacuation lifts it", "[evacuation]")
{
    evacuation_registry registry;
    registry.replace({at(5), {dc_a, dc_b}});
    const auto changed = registry.replace({at(9), {dc_b}});
    CHECK(changed.lifted == std::vector{dc_a});
    CHECK(changed.evacuated.empty());
}

TEST_CASE("reports and orders of an earlier position change nothing", "[evacuation]")
{
    // A peer reported that the evacuation was lifted; this entry then reads the earlier order.
    evacuation_registry registry;
    registry.replace({at(9), {}});
    CHECK(registry.apply_orders({{dc_a, true, at(5)}}, at(6)).is_empty());
    CHECK(registry.replace({at(8), {dc_a}}).is_empty());
    CHECK(registry.make_report().known_to == at(9));
    // A release without evacuations reports the position 0.
    registry.replace({at(12), {dc_a}});
    CHECK(registry.replace({at(0), {}}).is_empty());
    CHECK(registry.evacuated() == std::set{dc_a});
}

TEST_CASE("the state of a store restored from an older copy takes precedence", "[evacuation]")
{
    evacuation_registry registry;
    registry.replace({at(20), {dc_a}});
    CHECK(registry.replace({at(12, 1), {}}).lifted == std::vector{dc_a});
    CHECK(registry.replace({at(30), {dc_b}}).is_empty());
    CHECK(
        registry.apply_orders({{dc_a, true, at(12, 1)}}, at(13, 1)).evacuated == std::vector{dc_a});
}

TEST_CASE("reports in any order lead to the state of the stream", "[evacuation]")
{
    for (std::uint32_t seed = 1; seed <= 300; ++seed) {
        std::mt19937 random{seed};
        std::vector<evacuation_report> reports;
        evacuation_registry reader;
        for (std::uint64_t offset = 0; offset < 12; ++offset) {
            const evacuation_order order{
                random() % 2 == 0 ? dc_a : dc_b, random() % 2 == 0, at(offset)};
            reader.apply_orders({order}, at(offset + 1));
            reports.push_back(reader.make_report());
        }
        evacuation_registry other;
        std::ranges::shuffle(reports, random);
        // One in five is lost; the last state arrives eventually.
        for (const auto& report : reports) {
            if (random() % 5 != 0) {
                other.replace(report);
            }
        }
        other.replace(reader.make_report());
        INFO("seed " << seed);
        CHECK(other.evacuated() == reader.evacuated());
    }
}

} // namespace reedramp::routing
