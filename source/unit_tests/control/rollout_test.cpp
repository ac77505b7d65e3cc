#include "control/rollout.hpp"

#include <catch2/catch.hpp>

#include "control/evidence_recorder.hpp"
#include "control/proposal.hpp"
#include "inventory/fold.hpp"

using namespace reedramp;
using namespace reedramp::control;
using namespace std::chrono_literals;

namespace {

const common::version_id old_version("v1");
const common::version_id new_version("v2");

auto running_state(std::uint32_t step = 0) -> inventory::state
{
    inventory::state made;
    made.offset = common::log_offset(7);
    inventory::rollout item;
    item.id = "r";
    item.from = old_version;
    item.to = new_version;
    item.share = common::permille(10);
    item.step = step;
    item.changed = common::log_offset(5);
    made.rollouts.emplace(item.id, item);
    return made;
}

/// Evidence of one entry with `count` ratings of the new version and 200 of the old one, since the
/// new version's share is small.
auto report_of(const char* host, std::uint64_t sequence, int count, double old_score, double score)
    -> messages::gossip
{
    evidence_recorder seen{policy::regression_detector_options{}};
    const auto current = running_state();
    for (int i = 0; i < 200; ++i) {
        seen.on_rating(current, old_version, old_score + (i % 2 == 0 ? 0.1 : -0.1));
    }
    for (int i = 0; i < count; ++i) {
        seen.on_rating(current, new_version, score);
    }
    messages::gossip made;
    made.from = common::host_id(host);
    made.sequence = sequence;
    made.evidence = seen.report();
    return made;
}

const common::time_point start{1000s};

} // namespace

TEST_CASE("a roll-out advances on evidence, stops on an alarm, and otherwise waits")
{
    struct row {
        const char* title;
        int ratings;
        double score;
        std::uint32_t step;
        bool stops;
        std::uint32_t expected_share;
    };

    const std::vector<row> rows{
        {"no evidence", 0, 0.8, 0, false, 0},
        {"little evidence", 10, 0.8, 0, false, 0},
        {"as good", 200, 0.8, 0, false, 50},
        {"as good, last step", 400, 0.8, 3, false, 1000},
        {"nothing after the last step", 400, 0.8, 4, false, 0},
        {"bad", 60, 0.4, 0, true, 0},
    };
    for (const auto& each : rows) {
        INFO(each.title);
        evidence_aggregator aggregator;
        aggregator.apply_report(report_of("a", 1, each.ratings, 0.8, each.score));
        rollout_controller controller{rollout_options{}};
        const auto actions = controller.decide(running_state(each.step), aggregator, 0, start);
        CHECK(controller.has_alarm(new_version) == each.stops);
        if (each.stops) {
            REQUIRE(actions.size() == 1);
            CHECK(std::holds_alternative<propose_stop>(actions[0]));
            continue;
        }
        REQUIRE(actions.size() == (each.expected_share > 0 ? 1 : 0));
        if (each.expected_share > 0) {
            const auto& share = std::get<propose_share>(actions[0]);
            CHECK(share.share.value() == each.expected_share);
            CHECK(share.completes == (each.expected_share == 1000));
        }
    }
}

TEST_CASE("only the sum of the entries' evidence raises the alarm")
{
    // Each of six entries has too few bad ratings for an alarm, so callers would continue to get
    // bad responses if the evidence weren't summed. Repeated and reordered reports must not count
    // twice.
    evidence_aggregator aggregator;
    rollout_controller controller{rollout_options{}};
    const auto part = [](int host, std::uint64_t sequence, int count) {
        return report_of(std::to_string(host).c_str(), sequence, count, 0.8, 0.5);
    };
    aggregator.apply_report(part(0, 2, 6));
    for (int i = 0; i < 50; ++i) {
        CHECK_FALSE(aggregator.apply_report(part(0, 2, 6)));
        CHECK_FALSE(aggregator.apply_report(part(0, 1, 3)));
    }
    controller.decide(running_state(), aggregator, 0, start);
    CHECK_FALSE(controller.has_alarm(new_version));
    for (int host = 1; host < 6; ++host) {
        aggregator.apply_report(part(host, 1, 6));
    }
    controller.decide(running_state(), aggregator, 0, start);
    CHECK(controller.has_alarm(new_version));
}

TEST_CASE("entries propose in the order of their rank, and again if a proposal was lost")
{
    // The entry of rank 0 fails after the alarm. The entry of rank 1 must propose the withdrawal
    // after its delay, without having been told of the failure.
    evidence_aggregator aggregator;
    aggregator.apply_report(report_of("a", 1, 60, 0.8, 0.4));
    rollout_controller controller{rollout_options{}};
    CHECK(controller.decide(running_state(), aggregator, 1, start).empty());
    CHECK(controller.has_alarm(new_version));
    CHECK(controller.decide(running_state(), aggregator, 1, start + 1s).empty());
    CHECK(controller.decide(running_state(), aggregator, 1, start + 2s).size() == 1);
    CHECK(controller.decide(running_state(), aggregator, 1, start + 3s).empty());
    CHECK(controller.decide(running_state(), aggregator, 1, start + 13s).size() == 1);
}

TEST_CASE(
    "two proposals of one step have one record id, and a late one of an earlier step is dropped")
{
    const auto current = running_state();
    const propose_share action{"r", common::permille(50), 1, false, current.offset};
    const auto first = to_record(action, current, common::wall_time_ms(1));
    const auto second = to_record(action, current, common::wall_time_ms(99));
    REQUIRE(first);
    REQUIRE(second);
    CHECK(first->id == second->id);
    CHECK_FALSE(to_record(action, running_state(1), common::wall_time_ms(1)));

    const propose_stop stop{"r", new_version, alarm_response::withdraw, current.offset};
    const auto stopped = to_record(stop, current, common::wall_time_ms(1));
    REQUIRE(stopped);
    CHECK(stopped->changes.size() == 2);
}

TEST_CASE("a rating that is delivered twice counts once, and memory is bounded")
{
    unrated_answers waiting(10);
    for (std::uint64_t i = 0; i < 30; ++i) {
        waiting.add({0, i}, {new_version, {}, {}});
    }
    CHECK_FALSE(waiting.take({0, 5}));
    CHECK(waiting.take({0, 25}));
    CHECK_FALSE(waiting.take({0, 25}));
}

TEST_CASE("the aggregator drops the source with the oldest report beyond its limit")
{
    evidence_aggregator aggregator(2);
    aggregator.apply_report(report_of("a", 1, 1, 0.8, 0.4));
    aggregator.apply_report(report_of("b", 1, 1, 0.8, 0.4));
    aggregator.apply_report(report_of("a", 2, 1, 0.8, 0.4));
    aggregator.apply_report(report_of("c", 1, 1, 0.8, 0.4));
    CHECK(aggregator.sources() == 2);
    CHECK_FALSE(aggregator.apply_report(report_of("a", 2, 1, 0.8, 0.4)));
    CHECK(aggregator.apply_report(report_of("b", 1, 1, 0.8, 0.4)));
}
