#include "daemon/stall_monitor.hpp"

#include <catch2/catch.hpp>

namespace reedramp::daemon {

using namespace std::chrono_literals;

// Guards against an entry that stands still for seconds without a trace in its log.
TEST_CASE("a process that stood still is noticed once, with its length", "[stall_monitor]")
{
    common::time_point now{1000s};
    stall_monitor monitor([&now] { return now; }, 100ms);
    CHECK_FALSE(monitor.tick());
    for (int i = 0; i < 10; ++i) {
        now += 100ms + (i % 3) * 100ms;
        CHECK_FALSE(monitor.tick());
    }
    now += 4600ms;
    CHECK(monitor.tick() == common::duration{4500ms});
    now += 100ms;
    CHECK_FALSE(monitor.tick());
}

} // namespace reedramp::daemon
