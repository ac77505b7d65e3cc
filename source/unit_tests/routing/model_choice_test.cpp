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

TEST_CASE("an answer that the model is unsure of is dropped, the largest one's never", "[model]")
{
    const auto on = three_models();
    CHECK_FALSE(is_accepted(on, first_model(on), 20, 50.0));
    CHECK(is_accepted(on, first_model(on), 80, 50.0));
    CHECK(is_accepted(on, first_model(on), -1, 50.0));
    CHECK(is_accepted(on, next_model(on), 0, 50.0));
}

TEST_CASE("when callers wait, less confidence is asked for", "[model]")
{
    // Seven of eighteen engines are gone. Asking the largest model for every doubtful answer, each
    // caller's first event comes late; the doubtful answers are then worth more than they cost.
    const model_options options;
    wait_gauge gauge;
    for (int i = 0; i < 100; ++i) {
        gauge.note(milliseconds{100}, milliseconds{1000});
    }
    CHECK(asked_confidence(options, gauge.level()) == options.accepted_confidence);
    for (int i = 0; i < 15; ++i) {
        gauge.note(milliseconds{1500}, milliseconds{1000});
    }
    const auto under_pressure = asked_confidence(options, gauge.level());
    CHECK(under_pressure < options.accepted_confidence);
    for (int i = 0; i < 100; ++i) {
        gauge.note(milliseconds{5000}, milliseconds{1000});
    }
    CHECK(asked_confidence(options, gauge.level()) == 0.0);
    for (int i = 0; i < 100; ++i) {
        gauge.note(milliseconds{100}, milliseconds{1000});
    }
    CHECK(asked_confidence(options, gauge.level()) == options.accepted_confidence);
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
