#include "routing/model_choice.hpp"

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;

auto three_models() -> route
{
    route made;
    made.models = {common::model_id{"s"}, common::model_id{"m"}, common::model_id{"l"}};
    return made;
}

} // namespace

TEST_CASE("an answer with low confidence is discarded, except the largest model's", "[model]")
{
    const auto on = three_models();
    CHECK_FALSE(is_accepted(on, first_model(on), 20, 50.0));
    CHECK(is_accepted(on, first_model(on), 80, 50.0));
    CHECK(is_accepted(on, first_model(on), -1, 50.0));
    CHECK(is_accepted(on, next_model(on), 0, 50.0));
}

TEST_CASE("less confidence is required while callers wait", "[model]")
{
    // Seven of eighteen engines are gone. If the largest model were asked for every doubtful
    // answer, each caller's first event would be late; the doubtful answers are then worth more
    // than they cost.
    const model_options options;
    auto on = three_models();
    on.priority = 1;
    const auto calm = required_confidence(options, on, 0.0, false);
    wait_gauge gauge;
    for (int i = 0; i < 100; ++i) {
        gauge.note(milliseconds{100}, milliseconds{1000});
    }
    CHECK(required_confidence(options, on, gauge.level(), false) == calm);
    for (int i = 0; i < 15; ++i) {
        gauge.note(milliseconds{1500}, milliseconds{1000});
    }
    const auto under_pressure = required_confidence(options, on, gauge.level(), false);
    CHECK(under_pressure < calm);
    for (int i = 0; i < 100; ++i) {
        gauge.note(milliseconds{5000}, milliseconds{1000});
    }
    CHECK(required_confidence(options, on, gauge.level(), false) == 0.0);
    for (int i = 0; i < 100; ++i) {
        gauge.note(milliseconds{100}, milliseconds{1000});
    }
    CHECK(required_confidence(options, on, gauge.level(), false) == calm);
}

TEST_CASE("the larger model is given up first on routes of low priority", "[model]")
{
    // Callers wait for a third of their target. More tags then get the small model's answers, while
    // letters still get the largest one's.
    const model_options options;
    constexpr double third = 0.33;
    auto letters = three_models();
    auto tags = three_models();
    tags.priority = 2;
    CHECK(
        required_confidence(options, letters, third, false) ==
        required_confidence(options, letters, 0.0, false));
    CHECK(
        required_confidence(options, tags, third, false) <
        required_confidence(options, tags, 0.0, false) / 2.0);
}

TEST_CASE("less confidence is required where a wrong answer costs less", "[model]")
{
    // A tag is worth a tenth of a draft, while its larger model costs a fifth of the draft's. A
    // very long prompt takes the largest model longer than the target, so its answer would be late.
    const model_options options;
    auto urgent = three_models();
    auto tags = three_models();
    tags.priority = 2;
    const auto asked = required_confidence(options, urgent, 0.0, false);
    CHECK(asked == options.accepted_confidence);
    CHECK(required_confidence(options, tags, 0.0, false) < asked);
    CHECK(required_confidence(options, urgent, 0.0, true) == asked * options.late_value);
}

TEST_CASE("slowness follows the price", "[model]")
{
    service of;
    of.models = {{common::model_id{"s"}, 0.014}, {common::model_id{"l"}, 0.21}};
    CHECK(slowness(&of, "l") == 1.0);
    CHECK(slowness(&of, "s") == Approx(0.1).margin(0.01));
    CHECK(slowness(&of, "unknown") == 1.0);
    CHECK(slowness(nullptr, "s") == 1.0);
}

} // namespace reedramp::routing
