#include "overload/service_pressure.hpp"

#include <catch2/catch.hpp>

using namespace reedramp;
using namespace std::chrono_literals;
using overload::pressure_gauge;
using overload::pressure_of;
using overload::service_view;

TEST_CASE("pressure is zero while slots and memory are free and nothing waits", "[pressure]")
{
    // With capacity for all, no request may be handled differently than without overload control.
    CHECK(pressure_of({.slots_used = 0.85, .memory_used = 0.7, .shortest_target = 1000ms}) == 0.0);
}

TEST_CASE(
    "pressure reaches 1 when the wait, the slots or the memory reach their bound", "[pressure]")
{
    // A service whose memory is full would go unnoticed while slots are free. A service without a
    // target must not divide by zero.
    CHECK(pressure_of({.reading_wait = 1000ms, .shortest_target = 1000ms}) == 1.0);
    CHECK(pressure_of({.slots_used = 1.0}) == 1.0);
    CHECK(pressure_of({.memory_used = 1.0}) == 1.0);
    CHECK(pressure_of({.reading_wait = 1000ms}) == 0.0);
}

TEST_CASE("pressure rises at once and falls slowly, so that entries do not swing", "[pressure]")
{
    // Entries with views of different age would all give way and all come back at once.
    pressure_gauge gauge;
    common::time_point now{10s};
    gauge.update(2.0, now);
    CHECK(gauge.level() == 2.0);
    now += 250ms;
    gauge.update(0.0, now);
    CHECK(gauge.level() > 1.0);
    CHECK(gauge.level() < 1.5);
    now += 5s;
    gauge.update(0.0, now);
    CHECK(gauge.level() < 0.01);
}
