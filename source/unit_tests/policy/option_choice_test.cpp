#include "policy/option_choice.hpp"

#include <random>

#include <catch2/catch.hpp>

using namespace reedramp;
using namespace reedramp::policy;

namespace {

auto key(const char* first, const char* second = nullptr) -> option_key
{
    option_key made{common::version_id(first), std::nullopt};
    if (second != nullptr) {
        made.second = common::version_id(second);
    }
    return made;
}

auto make_option(option_key name, std::int64_t cost, double lower, double upper) -> option
{
    return {
        std::move(name),
        common::micro_money(cost),
        std::chrono::milliseconds(100),
        {(lower + upper) / 2, lower, upper, 100.0}};
}

} // namespace

TEST_CASE("the cheapest option whose lower bound meets the target is chosen")
{
    const std::vector<option> options{
        make_option(key("small"), 10, 0.60, 0.70),
        make_option(key("middle"), 30, 0.78, 0.84),
        make_option(key("small", "large"), 45, 0.86, 0.90),
        make_option(key("large"), 90, 0.90, 0.95),
    };

    struct row {
        const char* title;
        double target;
        bool may_cascade;
        double chance;
        option_key expected;
        choice_reason reason;
    };

    const std::vector<row> rows{
        {"the cheapest suffices", 0.55, true, 1, key("small"), choice_reason::cheapest_at_target},
        {"the middle one is needed",
         0.75,
         true,
         1,
         key("middle"),
         choice_reason::cheapest_at_target},
        {"a cascade is cheaper",
         0.85,
         true,
         1,
         key("small", "large"),
         choice_reason::cheapest_at_target},
        {"no cascade allowed", 0.85, false, 1, key("large"), choice_reason::cheapest_at_target},
        {"no option meets the target", 0.93, true, 1, key("large"), choice_reason::best_available},
        {"explores a cheaper option", 0.82, true, 0, key("middle"), choice_reason::exploring},
        {"nothing to explore", 0.75, true, 0, key("middle"), choice_reason::cheapest_at_target},
    };
    for (const auto& each : rows) {
        INFO(each.title);
        choice_input input;
        input.options = options;
        input.quality_target = each.target;
        input.may_cascade = each.may_cascade;
        input.chance = each.chance;
        const auto made = choose(input);
        REQUIRE(made);
        CHECK(made->key == each.expected);
        CHECK(made->reason == each.reason);
    }
}

TEST_CASE("the price ceiling and the time left exclude options")
{
    const std::vector<option> options{make_option(key("large"), 90, 0.9, 0.95)};
    choice_input input;
    input.options = options;
    input.price_ceiling = common::micro_money(89);
    CHECK_FALSE(choose(input));
    input.price_ceiling = common::micro_money(90);
    CHECK(choose(input));
    input.time_left = std::chrono::milliseconds(99);
    CHECK_FALSE(choose(input));
}

TEST_CASE("a growing share only adds sessions")
{
    for (std::uint64_t hash = 0; hash < 5000; hash += 7) {
        if (is_in_rollout_share(hash, common::permille(50))) {
            CHECK(is_in_rollout_share(hash, common::permille(200)));
        }
        CHECK_FALSE(is_in_rollout_share(hash, common::permille(0)));
        CHECK(is_in_rollout_share(hash, common::permille(1000)));
    }
}

TEST_CASE("quality estimates narrow with ratings and detect drift")
{
    quality_tracker tracker{quality_options{}};
    const common::task_name task("tagging");
    tracker.set_prior(key("small"), task, 0.9);
    CHECK(tracker.estimate(key("small"), task).mean == Approx(0.9));

    std::mt19937_64 random(3);
    std::normal_distribution<double> good(0.8, 0.1);
    for (int i = 0; i < 2000; ++i) {
        CHECK_FALSE(tracker.add(key("small"), task, good(random)));
    }
    const auto before = tracker.estimate(key("small"), task);
    CHECK(before.mean == Approx(0.8).margin(0.02));
    CHECK(before.upper - before.lower < 0.02);

    std::normal_distribution<double> bad(0.5, 0.1);
    bool noticed = false;
    for (int i = 0; i < 60; ++i) {
        noticed = tracker.add(key("small"), task, bad(random)) || noticed;
    }
    CHECK(noticed);
    CHECK(tracker.estimate(key("small"), task).upper < 0.75);
}

TEST_CASE("the price controller alternates between options so that their mean meets the target")
{
    const std::vector<option> options{
        make_option(key("small"), 10, 0.70, 0.72),
        make_option(key("large"), 90, 0.90, 0.92),
    };
    quality_price_controller controller;
    double quality = 0.0;
    double cost = 0.0;
    constexpr int requests = 2000;
    for (int i = 0; i < requests; ++i) {
        choice_input input;
        input.options = options;
        input.quality_target = 0.8;
        input.quality_price = controller.price();
        const auto made = choose(input);
        REQUIRE(made);
        const auto& taken = made->key == key("small") ? options[0] : options[1];
        controller.update(taken.quality, input.quality_target, options[1].expected_cost);
        quality += taken.quality.lower / requests;
        cost += static_cast<double>(taken.expected_cost.value()) / requests;
    }
    CHECK(quality >= 0.8);
    CHECK(quality < 0.82);
    CHECK(cost < 60.0);
}
