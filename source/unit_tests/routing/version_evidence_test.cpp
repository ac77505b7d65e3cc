#include "routing/version_evidence.hpp"

#include <cmath>
#include <optional>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

const route_name drafts{"drafts"};
const route_name lookups{"lookups"};

/// A roll-out observed by several entries, each of which serves its part and reports to the others.
struct simulated_rollout {
    std::mt19937_64 random;
    std::vector<version_evidence> entries;
    /// Standard deviation of the logarithm of a version's own times, as for plain answers; streams
    /// have half of it.
    double spread = 0.45;
    timed_part part = timed_part::whole_answer;

    simulated_rollout(std::uint64_t seed, std::size_t count)
        : random(seed), entries(count, version_evidence{evidence_options{}})
    {
    }

    auto time(double usual_ms) -> double
    {
        std::lognormal_distribution<double> times{std::log(usual_ms), this->spread};
        return times(this->random);
    }

    auto any_entry() -> version_evidence&
    {
        return this->entries[this->random() % this->entries.size()];
    }

    auto serve(version_side side, const route_name& route, double ms) -> void
    {
        this->any_entry().add_time(route, side, this->part, std::log(std::max(ms, 1.0)));
    }

    auto exchange_reports() -> void
    {
        for (std::size_t to = 0; to < this->entries.size(); ++to) {
            for (std::size_t from = 0; from < this->entries.size(); ++from) {
                if (from != to) {
                    const common::host_id name{"host-" + std::to_string(from)};
                    this->entries[to].apply_report(name, this->entries[from].make_report());
                }
            }
        }
    }

    [[nodiscard]] auto is_detected() const -> bool
    {
        return std::ranges::any_of(
            this->entries, [](const version_evidence& one) { return one.is_worse(); });
    }

    /// Number of new answers until the version is judged worse; none within `most`. Each new answer
    /// comes with five old ones.
    auto answers_until_detected(double times_as_slow, double share_slow, int most)
        -> std::optional<int>
    {
        constexpr int old_for_a_new_one = 5;
        constexpr double usual_ms = 60.0;
        std::bernoulli_distribution is_slow{share_slow};
        for (int answer = 1; answer <= most; ++answer) {
            for (int i = 0; i < old_for_a_new_one; ++i) {
                this->serve(version_side::old, lookups, this->time(usual_ms));
            }
            const auto factor = is_slow(this->random) ? times_as_slow : 1.0;
            this->serve(version_side::new_one, lookups, this->time(usual_ms * factor));
            this->exchange_reports();
            if (this->is_detected()) {
                return answer;
            }
        }
        return std::nullopt;
    }
};

auto median(std::vector<int> values) -> int
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    return *middle;
}

} // namespace

TEST_CASE("a version with slow answers is detected after a few dozen answers", "[evidence]")
{
    // Half of the new version's plain answers take three or eight times as long as the old one's.
    // None is a stream, and none fails, so the regression detector saw nothing, and all callers
    // were moved to it.
    struct row {
        double times;
        int max_median;
        int max_ever;
    };

    for (const auto& [times, max_median, max_ever] :
         std::vector<row>{{3.0, 45, 120}, {8.0, 25, 70}}) {
        std::vector<int> needed;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            const auto found = simulated_rollout{seed, 4}.answers_until_detected(times, 0.5, 200);
            REQUIRE(found);
            needed.push_back(*found);
        }
        INFO("times as slow " << times);
        CHECK(median(needed) <= max_median);
        CHECK(std::ranges::max(needed) <= max_ever);
    }
}

TEST_CASE(
    "a slow version of a plain service with few requests is detected in the first half",
    "[evidence]")
{
    // A plain service receives 13 requests per second, of which its new version gets some 40 in the
    // first half of a short roll-out; half of them take three times as long. The regression
    // detector needed more answers, and all callers were moved to the new version.
    const auto found_within = [](timed_part part, int most) {
        int found = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            simulated_rollout one{seed, 4};
            one.part = part;
            found += one.answers_until_detected(3.0, 0.5, most) ? 1 : 0;
        }
        return found;
    };
    const auto plain = found_within(timed_part::plain_answer, 40);
    const auto as_streams = found_within(timed_part::whole_answer, 40);
    INFO("plain " << plain << ", by the streams' scale " << as_streams);
    CHECK(plain >= 150);
    CHECK(plain >= as_streams + 20);
    // A version that is as fast, or a third slower, is not judged worse.
    int false_alarms = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        simulated_rollout one{seed, 4};
        one.part = timed_part::plain_answer;
        const double times = seed % 2 == 0 ? 1.0 : 1.33;
        false_alarms += one.answers_until_detected(times, 1.0, 80) ? 1 : 0;
    }
    CHECK(false_alarms == 0);
}

TEST_CASE("many entries detect a slow version as soon as few do", "[evidence]")
{
    // With 26 entries each one rarely sees an old answer; on its own none would know the baseline.
    std::vector<int> needed;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto found = simulated_rollout{seed, 26}.answers_until_detected(3.0, 1.0, 200);
        REQUIRE(found);
        needed.push_back(*found);
    }
    CHECK(median(needed) <= 40);
}

TEST_CASE("a version that is as fast, or a third slower, is not judged worse", "[evidence]")
{
    // Servers of one service differ by a third, and a new version may run on the slower ones.
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const double times = seed % 2 == 0 ? 1.0 : 1.33;
        found += simulated_rollout{seed, 4}.answers_until_detected(times, 1.0, 80) ? 1 : 0;
    }
    CHECK(found == 0);
}

TEST_CASE("a slow service is not a slow version", "[evidence]")
{
    // From some time on the service takes four times as long for all callers, because of a burst or
    // packet loss. Old and new answers are equally late.
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        simulated_rollout one{seed, 4};
        for (int answer = 0; answer < 60; ++answer) {
            const double baseline = answer < 20 ? 60.0 : 240.0;
            for (int i = 0; i < 5; ++i) {
                one.serve(version_side::old, lookups, one.time(baseline));
            }
            one.serve(version_side::new_one, lookups, one.time(baseline));
            one.exchange_reports();
        }
        found += one.is_detected() ? 1 : 0;
    }
    CHECK(found <= 1);
}

TEST_CASE("abandoned answers count with the time waited for them", "[evidence]")
{
    // The new version hangs: callers time out, and no answer ever has a total time.
    version_evidence seen{evidence_options{}};
    for (int i = 0; i < 60; ++i) {
        seen.add_time(lookups, version_side::old, timed_part::whole_answer, std::log(60.0));
    }
    for (int i = 0; i < 12; ++i) {
        seen.add_time(
            lookups,
            version_side::new_one,
            timed_part::whole_answer,
            std::log(3000.0),
            time_bound::at_least);
    }
    CHECK(seen.is_worse());
    // Answers that were abandoned early, by callers who left, say nothing.
    version_evidence other{evidence_options{}};
    for (int i = 0; i < 60; ++i) {
        other.add_time(lookups, version_side::old, timed_part::whole_answer, std::log(60.0));
        other.add_time(
            lookups,
            version_side::new_one,
            timed_part::whole_answer,
            std::log(50.0),
            time_bound::at_least);
    }
    CHECK(other.log_against().strongest <= 0.0);
}

TEST_CASE("failures on busy servers are not outweighed by answers of idle ones", "[evidence]")
{
    // Guards against judging a version that fails under load by all of its answers together: half
    // of the few requests on busy servers fail, and ten times as many on idle ones do not.
    const auto play = [](double failures_when_busy, std::uint64_t seed) {
        std::mt19937_64 random{seed};
        std::bernoulli_distribution fails{failures_when_busy};
        version_evidence here{evidence_options{}};
        version_evidence there{evidence_options{}};
        for (int i = 0; i < 200; ++i) {
            auto& one = i % 2 == 0 ? here : there;
            one.add_outcome(lookups, version_side::old, i % 60 != 0);
            one.add_outcome(lookups, version_side::new_one, true);
            if (i % 10 == 0) {
                one.add_outcome(lookups, version_side::new_one, !fails(random), occupancy::high);
            }
        }
        here.apply_report(common::host_id{"b"}, there.make_report());
        there.apply_report(common::host_id{"a"}, here.make_report());
        CHECK(here.is_worse() == there.is_worse());
        return here.log_against();
    };
    const auto bad = play(0.5, 1);
    CHECK(bad.strongest > 5.3);
    CHECK(bad.strongest_of_all < 1.0);
    CHECK(bad.strongest_at == occupancy::high);
    CHECK(bad.strongest_signal == policy::signal::error);
    int alarms = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        alarms += play(1.0 / 60.0, seed).strongest > 5.3 ? 1 : 0;
    }
    CHECK(alarms == 0);
}

TEST_CASE("an old version that fails on busy servers is the measure there", "[evidence]")
{
    // Guards against an alarm over a new version that fails under load no more than the old one.
    version_evidence seen{evidence_options{}};
    for (int i = 0; i < 100; ++i) {
        seen.add_outcome(lookups, version_side::old, true);
    }
    for (int i = 0; i < 30; ++i) {
        seen.add_outcome(lookups, version_side::old, i % 2 == 0, occupancy::high);
    }
    for (int i = 0; i < 30; ++i) {
        seen.add_outcome(lookups, version_side::new_one, i % 2 == 0, occupancy::high);
    }
    CHECK(seen.log_against().high_occupancy < 1.0);
}

TEST_CASE("implausible reports do not break the sums", "[evidence]")
{
    version_evidence seen{evidence_options{}};
    evidence_report absurd;
    absurd.bets = {1.0}; // From another release.
    absurd.baseline_times[1] = {1e9, 1e9};
    seen.apply_report(common::host_id{"peer"}, {{drafts, absurd}});
    for (int i = 0; i < 100; ++i) {
        seen.add_time(drafts, version_side::old, timed_part::whole_answer, std::log(60.0));
        seen.add_time(drafts, version_side::new_one, timed_part::whole_answer, std::log(60.0));
    }
    CHECK(std::isfinite(seen.log_against().strongest));
    CHECK_FALSE(seen.is_worse());
}

} // namespace reedramp::routing
