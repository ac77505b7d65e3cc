#include "policy/regression_detector.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>

#include <catch2/catch.hpp>

using namespace reedramp::policy;

namespace {

constexpr double doubt = 0.1;

/// Ratings of the old version for each one of the new version, as while its share is small.
constexpr int old_ratings_each = 20;

struct truth {
    double baseline_mean;
    double new_mean;
};

/// Scores around `mean` with a spread of about 0.2, kept inside [0, 1].
auto draw(std::mt19937_64& random, double mean) -> double
{
    std::normal_distribution<double> score(mean, 0.2);
    return std::clamp(score(random), 0.0, 1.0);
}

/// The first number of new ratings at which the summed wealth of `processes` is decided, or none.
auto ratings_until(verdict wanted, truth scene, int processes, int limit, std::uint64_t seed)
    -> std::optional<int>
{
    std::mt19937_64 random(seed);
    const regression_detector_options options;
    std::vector<regression_evidence> parts(
        static_cast<std::size_t>(processes), regression_evidence(options));
    double old_sum = 0.0;
    double old_count = 0.0;
    for (int step = 1; step <= limit; ++step) {
        auto& part = parts[static_cast<std::size_t>(step % processes)];
        for (int i = 0; i < old_ratings_each; ++i) {
            const double score = draw(random, scene.baseline_mean);
            part.add_baseline(signal::rating, score);
            old_sum += score;
            ++old_count;
        }
        // As entries do, each bets against the mean over all of them.
        part.set_pooled_baseline(signal::rating, old_sum / old_count, old_count);
        part.add_candidate(signal::rating, draw(random, scene.new_mean));
        wealth total;
        for (const auto& each : parts) {
            add_wealth(total, each.log_wealth());
        }
        if (evaluate(total, options, doubt).decision == wanted) {
            return step;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("a version whose ratings fall is found, also when its evidence is spread")
{
    // Operators see a new version that drafts worse; its ratings arrive at several entries, each of
    // which sees too few of them. Only the sum can tell.
    struct row {
        double new_mean;
        int processes;
        int at_most;
    };

    for (const auto& each :
         {row{0.3, 1, 60}, row{0.3, 8, 60}, row{0.6, 1, 400}, row{0.6, 8, 400}}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            INFO("mean " << each.new_mean << " processes " << each.processes << " seed " << seed);
            const auto found = ratings_until(
                verdict::worse, {0.8, each.new_mean}, each.processes, each.at_most, seed);
            CHECK(found.has_value());
        }
    }
}

TEST_CASE("an equally good version seldom raises the alarm, however often one looks")
{
    // 300 roll-outs of a version that is worse by just the slack, looked at after each rating. The
    // stated probability of a false alarm is 0.01 each; 10 of 300 would have a chance below 0.001.
    int alarms = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const auto found = ratings_until(verdict::worse, {0.7, 0.7}, 4, 1000, seed);
        alarms += found ? 1 : 0;
    }
    CHECK(alarms <= 9);
}

TEST_CASE("an equally good version earns a larger share")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto found = ratings_until(verdict::not_worse, {0.7, 0.7}, 4, 400, seed);
        CHECK(found.has_value());
    }
}

TEST_CASE("errors and slow answers raise the alarm without any rating")
{
    for (const auto what : {signal::error, signal::slow}) {
        regression_evidence seen{regression_detector_options{}};
        for (int i = 0; i < 100; ++i) {
            seen.add_baseline(what, 0.0);
        }
        for (int i = 0; i < 40; ++i) {
            seen.add_baseline(what, 0.0);
            seen.add_candidate(what, i % 2 == 0 ? 1.0 : 0.0);
        }
        CHECK(
            evaluate(seen.log_wealth(), regression_detector_options{}, doubt).decision ==
            verdict::worse);
    }
}

TEST_CASE("scores that are not numbers from 0 to 1 do not break the wealth")
{
    regression_evidence seen{regression_detector_options{}};
    for (int i = 0; i < 30; ++i) {
        for (const double score : {std::nan(""), -1e9, 1e9, HUGE_VAL}) {
            seen.add_baseline(signal::rating, score);
            seen.add_candidate(signal::rating, score);
        }
    }
    CHECK(seen.log_wealth().front() != 0.0);
    for (const double each : seen.log_wealth()) {
        CHECK(std::isfinite(each));
    }
}

TEST_CASE("wealth of another size is left out")
{
    wealth total;
    add_wealth(total, std::vector<double>{5.0, 5.0});
    CHECK(total == wealth(wealth_size, 0.0));
    CHECK(evaluate({1.0}, regression_detector_options{}, doubt).decision == verdict::undecided);
}

TEST_CASE("a version that turns bad after its roll-out is found; a steady one is not")
{
    // The version was accepted with a mean of 0.8. After 3000 good ratings its engine starts to
    // answer badly; evidence in its favour from before must not delay the alarm.
    struct row {
        double later_mean;
        bool expected;
    };

    for (const auto& each : {row{0.5, true}, row{0.8, false}}) {
        std::mt19937_64 random(7);
        drift_evidence seen(regression_detector_options{}, 0.78);
        drift_detector detector(1e5);
        bool found = false;
        for (int i = 0; i < 3000; ++i) {
            seen.add_rating(draw(random, 0.8));
            found = detector.observe(seen.log_wealth());
            REQUIRE_FALSE(found);
        }
        for (int i = 0; i < 200 && !found; ++i) {
            seen.add_rating(draw(random, each.later_mean));
            found = detector.observe(seen.log_wealth());
        }
        CHECK(found == each.expected);
    }
}
