#include "daemon/stall_monitor.hpp"

#include <chrono>
#include <utility>

namespace reedramp::daemon {

namespace {

/// Shorter ones are usual where a host gives the process a part of a core.
constexpr std::chrono::milliseconds shortest_stall{500};

} // namespace

stall_monitor::stall_monitor(common::clock_hook clock_to_use, common::duration tick_period)
    : clock(std::move(clock_to_use)), period(tick_period)
{
}

auto stall_monitor::tick() -> std::optional<common::duration>
{
    const auto now = this->clock();
    const auto expected = std::exchange(this->due, now + this->period);
    if (expected == common::never || now - expected < shortest_stall) {
        return std::nullopt;
    }
    return now - expected;
}

} // namespace reedramp::daemon
