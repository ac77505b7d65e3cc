#include "placement/arrival_smoother.hpp"

#include <random>

#include <catch2/catch.hpp>

#include "placement/retry_window.hpp"

namespace reedramp::placement::test {

namespace {

using namespace std::chrono_literals;

constexpr common::time_point start{1000s};

/// Records `count` arrivals at one moment; returns how many of them count.
auto record_at_once(arrival_smoother& smoother, common::time_point now, int count) -> double
{
    double counted = 0.0;
    for (int i = 0; i < count; ++i) {
        counted += smoother.record(now);
    }
    return counted;
}

} // namespace

// Guards against steady callers whose requests earn fewer retries than the deployment allows.
TEST_CASE("nearly all arrivals of a steady rate count", "[arrival_smoother]")
{
    for (const double per_second : {2.0, 20.0, 200.0}) {
        INFO(per_second << " a second");
        arrival_smoother smoother{{}};
        std::mt19937_64 random{1};
        std::exponential_distribution between{per_second};
        auto now = start;
        double counted = 0.0;
        int arrivals = 0;
        for (; now < start + 120s; ++arrivals) {
            now += std::chrono::duration_cast<common::duration>(
                std::chrono::duration<double>(between(random)));
            counted += smoother.record(now);
        }
        CHECK(counted >= 0.95 * arrivals);
    }
}

// Guards against a backlog that counts for the time in which it waited.
TEST_CASE("of a backlog no more counts than a short burst", "[arrival_smoother]")
{
    arrival_smoother smoother{{}};
    auto now = start;
    for (int i = 0; i < 600; ++i) {
        now += 50ms;
        smoother.record(now);
    }
    now += 8s;
    CHECK(record_at_once(smoother, now, 160) <= 2.0 * 20.0 + 1.0);
}

// Guards against callers that come now and then and are taken for the backlog of a long stop.
TEST_CASE(
    "after a silence as long as the memory, arrivals count as at the start", "[arrival_smoother]")
{
    arrival_smoother smoother{{}};
    auto now = start;
    for (int day = 0; day < 3; ++day) {
        double counted = 0.0;
        for (int i = 0; i < 100; ++i) {
            now += 50ms;
            counted += smoother.record(now);
        }
        CHECK(counted >= 80.0);
        now += 31s;
    }
}

// Guards against a retry that is forgotten before it has arrived.
TEST_CASE("a retry counts until a window after its arrival", "[retry_window]")
{
    retry_window window{10s};
    window.add(start + 20s);
    window.add(start + 20s);
    CHECK(window.count(start + 29s) == 2);
    window.move(start + 20s, start + 25s);
    CHECK(window.count(start + 29s) == 2);
    CHECK(window.count(start + 31s) == 1);
    CHECK(window.count(start + 34s) == 1);
    CHECK(window.count(start + 36s) == 0);
    window.move(start + 20s, start + 40s);
    CHECK(window.count(start + 36s) == 0);
}

} // namespace reedramp::placement::test
