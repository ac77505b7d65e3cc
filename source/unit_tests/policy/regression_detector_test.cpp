#include "policy/regression_detector.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>

#include <catch2/catch.hpp>

using namespace reedramp::policy;

namespace {

constexpr double error_probability = 0.1;

/// Ratings of the old version per rating of the new version, as while the new version's share is
/// small.
constexpr int baseline_ratings_per_candidate = 20;

struct true_means {
    double baseline_mean;
    double candidate_mean;
};

/// A normally distributed score around `mean` with a deviation of 0.2, clamped to [0, 1].
auto draw(std::mt19937_64& random, double mean) -> double
{
    std::normal_distribution<double> score(mean, 0.2);
    return std::clamp(score(random), 0.0, 1.0);
}

/// The number of ratings of the new version until the summed wealth of `processes` gives the
/// `expected` verdict, or nothing within `limit` ratings.
auto ratings_until(verdict expected, true_means means, int processes, int limit, std::uint64_t seed)
    -> std::optional<int>
{
    std::mt19937_64 random(seed);
    const regression_detector_options options;
    std::vector<regression_evidence> parts(
        static_cast<std::size_t>(processes), regression_evidence(options));
    double baseline_sum = 0.0;
    double baseline_count = 0.0;
    for (int step = 1; step <= limit; ++step) {
        auto& part = parts[static_cast<std::size_t>(step % processes)];
        for (int i = 0; i < baseline_ratings_per_candidate; ++i) {
            const double score = draw(random, means.baseline_mean);
            part.add_baseline(signal::rating, score);
            baseline_sum += score;
            ++baseline_count;
        }
        // Each process bets against the mean over all processes, as entries do.
        part.set_pooled_baseline(signal::rating, baseline_sum / baseline_count, baseline_count);
        part.add_candidate(signal::rating, draw(random, means.candidate_mean));
        wealth total;
        for (const auto& each : parts) {
            add_wealth(total, each.log_wealth());
        }
        if (evaluate(total, options, error_probability).decision == expected) {
            return step;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("a version with lower ratings is detected, also if the evidence is distributed")
{
    // The ratings of a worse version arrive at several entries, each of which gets too few of them
    // to decide; only the summed wealth is conclusive.
    struct row {
        double candidate_mean;
        int processes;
        int at_most;
    };

    for (const auto& each :
         {row{0.3, 1, 60}, row{0.3, 8, 60}, row{0.6, 1, 400}, row{0.6, 8, 400}}) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            INFO(
                "mean " << each.candidate_mean << " processes " << each.processes << " seed "
                        << seed);
            const auto found = ratings_until(
                verdict::worse, {0.8, each.candidate_mean}, each.processes, each.at_most, seed);
            CHECK(found.has_value());
        }
    }
}

TEST_CASE("an equally good version rarely raises an alarm, however often the test is evaluated")
{
    // 300 roll-outs, evaluated after each rating. The false alarm probability is at most 0.01 each,
    // so 10 or more alarms in 300 would have a probability below 0.001.
    int alarms = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const auto found = ratings_until(verdict::worse, {0.7, 0.7}, 4, 1000, seed);
        alarms += found ? 1 : 0;
    }
    CHECK(alarms <= 9);
}

TEST_CASE("an equally good version is accepted for a larger share")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const auto found = ratings_until(verdict::not_worse, {0.7, 0.7}, 4, 400, seed);
        CHECK(found.has_value());
    }
}

TEST_CASE("errors and slow answers raise an alarm without any rating")
{
    for (const auto what : {signal::error, signal::slow}) {
        regression_evidence evidence{regression_detector_options{}};
        for (int i = 0; i < 100; ++i) {
            evidence.add_baseline(what, 0.0);
        }
        for (int i = 0; i < 40; ++i) {
            evidence.add_baseline(what, 0.0);
            evidence.add_candidate(what, i % 2 == 0 ? 1.0 : 0.0);
        }
        CHECK(
            evaluate(evidence.log_wealth(), regression_detector_options{}, error_probability)
                .decision == verdict::worse);
    }
}

TEST_CASE("the wealth stays finite for scores that are not numbers from 0 to 1")
{
    regression_evidence evidence{regression_detector_options{}};
    for (int i = 0; i < 30; ++i) {
        for (const double score : {std::nan(""), -1e9, 1e9, HUGE_VAL}) {
            evidence.add_baseline(signal::rating, score);
            evidence.add_candidate(signal::rating, score);
        }
    }
    CHECK(evidence.log_wealth().front() != 0.0);
    for (const double each : evidence.log_wealth()) {
        CHECK(std::isfinite(each));
    }
}

TEST_CASE("a wealth vector of another size is ignored")
{
    wealth total;
    add_wealth(total, std::vector<double>{5.0, 5.0});
    CHECK(total == wealth(wealth_size, 0.0));
    CHECK(
        evaluate({1.0}, regression_detector_options{}, error_probability).decision ==
        verdict::undecided);
}

TEST_CASE("a version that becomes worse after its roll-out is detected, a stable one is not")
{
    // The version was accepted with a mean of 0.8 and then gets 3000 good ratings. When its answers
    // become worse, these earlier ratings must not delay the alarm.
    struct row {
        double later_mean;
        bool expected;
    };

    for (const auto& each : {row{0.5, true}, row{0.8, false}}) {
        std::mt19937_64 random(7);
        drift_evidence evidence(regression_detector_options{}, 0.78);
        drift_detector detector(1e5);
        bool found = false;
        for (int i = 0; i < 3000; ++i) {
            evidence.add_rating(draw(random, 0.8));
            found = detector.observe(evidence.log_wealth());
            REQUIRE_FALSE(found);
        }
        for (int i = 0; i < 200 && !found; ++i) {
            evidence.add_rating(draw(random, each.later_mean));
            found = detector.observe(evidence.log_wealth());
        }
        CHECK(found == each.expected);
    }
}
