#include "routing/model_choice.hpp"

#include <vector>

#include <catch2/catch.hpp>

#include "routing/first_event_estimator.hpp"

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
    const auto calm = required_confidence(options, on.priority, 0.0, larger_model_timing::in_time);
    wait_gauge gauge;
    for (int i = 0; i < 100; ++i) {
        gauge.note(milliseconds{100}, milliseconds{1000});
    }
    CHECK(
        required_confidence(options, on.priority, gauge.level(), larger_model_timing::in_time) ==
        calm);
    for (int i = 0; i < 15; ++i) {
        gauge.note(milliseconds{1500}, milliseconds{1000});
    }
    const auto under_pressure =
        required_confidence(options, on.priority, gauge.level(), larger_model_timing::in_time);
    CHECK(under_pressure < calm);
    for (int i = 0; i < 100; ++i) {
        gauge.note(milliseconds{5000}, milliseconds{1000});
    }
    CHECK(
        required_confidence(options, on.priority, gauge.level(), larger_model_timing::in_time) ==
        0.0);
    for (int i = 0; i < 100; ++i) {
        gauge.note(milliseconds{100}, milliseconds{1000});
    }
    CHECK(
        required_confidence(options, on.priority, gauge.level(), larger_model_timing::in_time) ==
        calm);
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
        required_confidence(options, letters.priority, third, larger_model_timing::in_time) ==
        required_confidence(options, letters.priority, 0.0, larger_model_timing::in_time));
    CHECK(
        required_confidence(options, tags.priority, third, larger_model_timing::in_time) <
        required_confidence(options, tags.priority, 0.0, larger_model_timing::in_time) / 2.0);
}

TEST_CASE("less confidence is required where a wrong answer costs less", "[model]")
{
    // A tag is worth a tenth of a draft, while its larger model costs a fifth of the draft's. A
    // very long prompt takes the largest model longer than the target, so its answer would be late.
    const model_options options;
    auto urgent = three_models();
    auto tags = three_models();
    tags.priority = 2;
    const auto asked =
        required_confidence(options, urgent.priority, 0.0, larger_model_timing::in_time);
    CHECK(asked == options.accepted_confidence);
    CHECK(required_confidence(options, tags.priority, 0.0, larger_model_timing::in_time) < asked);
    CHECK(
        required_confidence(options, urgent.priority, 0.0, larger_model_timing::late) ==
        asked * options.late_value);
}

TEST_CASE("the largest model that reads the prompt within the target is asked next", "[model]")
{
    // Guards against a prompt of 50,000 tokens that the largest model reads for five seconds while
    // all streams of its server pause.
    auto on = three_models();
    on.target = milliseconds{2000};
    const auto at = [&on](std::vector<milliseconds> waits) {
        return next_model_in_time(on, 0, [waits](std::size_t index) { return waits[index]; });
    };
    CHECK(at({milliseconds{100}, milliseconds{300}, milliseconds{900}}) == 2);
    CHECK(at({milliseconds{400}, milliseconds{1200}, milliseconds{5000}}) == 1);
    CHECK_FALSE(at({milliseconds{900}, milliseconds{2500}, milliseconds{9000}}).has_value());
    CHECK_FALSE(next_model_in_time(on, 2, [](std::size_t) { return milliseconds{0}; }).has_value());
    CHECK(
        required_confidence(model_options{}, on.priority, 0.0, larger_model_timing::too_slow) ==
        0.0);
}

TEST_CASE("the largest model is asked next on a route without a target", "[model]")
{
    // A target of 0 means that there is none; taken as a time, it ruled out every larger model.
    auto on = three_models();
    on.target = milliseconds{0};
    CHECK(next_model_in_time(on, 0, [](std::size_t) { return milliseconds{100}; }) == 2);
}

TEST_CASE("waits for first events are learned by size, and extrapolated upwards only", "[model]")
{
    // A mean over all sizes predicts half of the longest prompts' wait. Scaled down, it would
    // predict waits of short prompts that the fixed time of a request exceeds.
    first_event_estimator waits;
    CHECK(waits.expected(1000.0).count() == 0);
    for (int i = 0; i < 10; ++i) {
        waits.note(1000.0, milliseconds{50});
        waits.note(20000.0, milliseconds{1000});
    }
    waits.note(60000.0, milliseconds{9000});
    CHECK(waits.expected(1000.0).count() == 50);
    CHECK(waits.expected(5000.0).count() == 250);
    CHECK(waits.expected(20000.0).count() == 1000);
    // A single sample of the largest size may have waited behind others.
    CHECK(waits.expected(60000.0).count() == 3000);
    CHECK(waits.expected(10.0).count() == 0);
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
