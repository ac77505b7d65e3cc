#include "routing/load_effect.hpp"

#include <cmath>
#include <limits>
#include <random>

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

const route_name drafts{"drafts"};
const route_name tags{"tags"};

/// An engine whose streams' pauses grow with `slope`.
struct engine {
    std::mt19937_64 random{20261202};
    double slope = 0.33;

    auto pause(double reading) -> double
    {
        std::normal_distribution<double> noise{0.0, 0.25};
        return 2.8 + this->slope * std::log1p(reading / 300.0) + noise(this->random);
    }

    auto reading() -> double
    {
        std::exponential_distribution<double> tokens{1.0 / 4000.0};
        return tokens(this->random);
    }

    auto show(load_effect& to, const route_name& route, int streams) -> void
    {
        for (int i = 0; i < streams; ++i) {
            const auto tokens = this->reading();
            to.note(route, tokens, this->pause(tokens));
        }
    }
};

} // namespace

TEST_CASE("the effect of load is estimated", "[load_effect]")
{
    for (const double slope : {0.1, 0.33, 0.6}) {
        load_effect learned;
        engine one;
        one.slope = slope;
        one.show(learned, drafts, 400);
        CHECK(learned.slope() == Approx(slope).margin(0.06));
        CHECK(learned.observations() > 100.0);
    }
}

TEST_CASE("the estimate follows changes of the engines", "[load_effect]")
{
    // New engines read prompts separately from generating answers; the old engines' effect must not
    // persist.
    load_effect learned;
    engine one;
    one.slope = 0.6;
    one.show(learned, drafts, 400);
    one.slope = 0.1;
    one.show(learned, drafts, 1200);
    CHECK(learned.slope() < 0.2);
}

TEST_CASE("differences between routes are not taken for an effect of load", "[load_effect]")
{
    // Tags have long pauses and occur where little is read, drafts the opposite. Over both routes
    // together, load would seem to make streams faster.
    load_effect learned;
    engine one;
    for (int i = 0; i < 300; ++i) {
        const auto tokens = one.reading();
        learned.note(tags, tokens / 20.0, one.pause(tokens / 20.0) + 2.0);
        learned.note(drafts, tokens, one.pause(tokens));
    }
    CHECK(learned.slope() == Approx(0.33).margin(0.1));
}

TEST_CASE("before the first stream the prior estimate is used", "[load_effect]")
{
    const load_effect fresh;
    CHECK(fresh.observations() == 0.0);
    CHECK(fresh.slope() > 0.2);
    CHECK(fresh.without_load(0.0, 3.0) == 3.0);
    CHECK(fresh.without_load(3000.0, 4.0) < 3.5);
}

TEST_CASE("invalid input does not corrupt the estimate", "[load_effect]")
{
    constexpr double none = std::numeric_limits<double>::quiet_NaN();
    constexpr double endless = std::numeric_limits<double>::infinity();
    load_effect learned;
    engine one;
    one.show(learned, drafts, 100);
    const auto before = learned.slope();
    for (const double bad : {none, endless, -endless}) {
        learned.note(drafts, bad, 3.0);
        learned.note(drafts, 500.0, bad);
    }
    learned.note(drafts, -7.0, 3.0);
    learned.note(drafts, 1e300, 1e6);
    CHECK(std::isfinite(learned.slope()));
    CHECK(learned.slope() == Approx(before).margin(0.15));
    CHECK(std::isfinite(learned.without_load(none, 3.0)));
}

} // namespace reedramp::routing
