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

/// A roll-out seen by several entries, each of which serves its part and tells the others.
struct seen_rollout {
    std::mt19937_64 random;
    std::vector<version_evidence> entries;
    /// Spread of a version's own times, as of plain answers; streams have half of it.
    double spread = 0.45;
    timed_part part = timed_part::whole_answer;

    seen_rollout(std::uint64_t seed, std::size_t count)
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

    auto tell_all() -> void
    {
        for (std::size_t to = 0; to < this->entries.size(); ++to) {
            for (std::size_t from = 0; from < this->entries.size(); ++from) {
                if (from != to) {
                    const common::host_id name{"host-" + std::to_string(from)};
                    this->entries[to].hear(name, this->entries[from].tell());
                }
            }
        }
    }

    [[nodiscard]] auto is_found() const -> bool
    {
        return std::ranges::any_of(
            this->entries, [](const version_evidence& one) { return one.is_worse(); });
    }

    /// New answers until it is found; none within `most`. Each new one comes with five old ones.
    auto answers_until_found(double times_as_slow, double share_slow, int most)
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
            this->tell_all();
            if (this->is_found()) {
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

TEST_CASE("a version whose whole answers are slow is found after some tens of them", "[evidence]")
{
    // Half of the new version's plain answers take three or eight times as long as the old one's.
    // None comes as a stream, and none fails, so that the guard saw nothing, and all callers were
    // moved to it.
    struct row {
        double times;
        int most_median;
        int most_ever;
    };

    for (const auto& [times, most_median, most_ever] :
         std::vector<row>{{3.0, 45, 120}, {8.0, 25, 70}}) {
        std::vector<int> needed;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            const auto found = seen_rollout{seed, 4}.answers_until_found(times, 0.5, 200);
            REQUIRE(found);
            needed.push_back(*found);
        }
        INFO("times as slow " << times);
        CHECK(median(needed) <= most_median);
        CHECK(std::ranges::max(needed) <= most_ever);
    }
}

TEST_CASE("a plain service with few requests shows a slow version in its first half", "[evidence]")
{
    // A plain service gets 13 requests a second, and its new version some 40 in the first half of a
    // short roll-out; half of them take three times as long. The guard wanted more, and all callers
    // were moved to it.
    const auto found_within = [](timed_part part, int most) {
        int found = 0;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            seen_rollout one{seed, 4};
            one.part = part;
            found += one.answers_until_found(3.0, 0.5, most) ? 1 : 0;
        }
        return found;
    };
    const auto plain = found_within(timed_part::plain_answer, 40);
    const auto as_streams = found_within(timed_part::whole_answer, 40);
    INFO("plain " << plain << ", by the streams' scale " << as_streams);
    CHECK(plain >= 150);
    CHECK(plain >= as_streams + 20);
    // One that is as fast, or a third slower, is not called worse.
    int false_alarms = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        seen_rollout one{seed, 4};
        one.part = timed_part::plain_answer;
        const double times = seed % 2 == 0 ? 1.0 : 1.33;
        false_alarms += one.answers_until_found(times, 1.0, 80) ? 1 : 0;
    }
    CHECK(false_alarms == 0);
}

TEST_CASE("many entries find a slow version as soon as few do", "[evidence]")
{
    // With 26 entries each sees an old answer now and then; alone none would know what is usual.
    std::vector<int> needed;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto found = seen_rollout{seed, 26}.answers_until_found(3.0, 1.0, 200);
        REQUIRE(found);
        needed.push_back(*found);
    }
    CHECK(median(needed) <= 40);
}

TEST_CASE("a version that is as fast, or a third slower, is not called worse", "[evidence]")
{
    // Servers of one service differ by a third, and a new version may stand on the slower ones.
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const double times = seed % 2 == 0 ? 1.0 : 1.33;
        found += seen_rollout{seed, 4}.answers_until_found(times, 1.0, 80) ? 1 : 0;
    }
    CHECK(found == 0);
}

TEST_CASE("a slow service is not a slow version", "[evidence]")
{
    // The service takes four times as long for all callers from one moment on: a burst, a network
    // that loses packets. Old and new answers are late alike.
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        seen_rollout one{seed, 4};
        for (int answer = 0; answer < 60; ++answer) {
            const double usual = answer < 20 ? 60.0 : 240.0;
            for (int i = 0; i < 5; ++i) {
                one.serve(version_side::old, lookups, one.time(usual));
            }
            one.serve(version_side::new_one, lookups, one.time(usual));
            one.tell_all();
        }
        found += one.is_found() ? 1 : 0;
    }
    CHECK(found <= 1);
}

TEST_CASE("answers that are given up count for as long as they were waited for", "[evidence]")
{
    // The new version hangs: callers' time runs out, and no answer ever has a whole time.
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
    // Given up after a moment, by callers who left, they say nothing.
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

TEST_CASE("what no peer could have seen does not break the sums", "[evidence]")
{
    version_evidence seen{evidence_options{}};
    evidence_report absurd;
    absurd.bets = {1.0}; // Of another release.
    absurd.usual_times[1] = {1e9, 1e9};
    seen.hear(common::host_id{"peer"}, {{drafts, absurd}});
    for (int i = 0; i < 100; ++i) {
        seen.add_time(drafts, version_side::old, timed_part::whole_answer, std::log(60.0));
        seen.add_time(drafts, version_side::new_one, timed_part::whole_answer, std::log(60.0));
    }
    CHECK(std::isfinite(seen.log_against().strongest));
    CHECK_FALSE(seen.is_worse());
}

} // namespace reedramp::routing
