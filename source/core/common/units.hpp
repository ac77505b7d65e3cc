#pragma once

#include <chrono>
#include <cstdint>

#include "common/strong.hpp"

namespace reedramp::common {

/// The clock of all decisions. It has no `now()`: the time is always given, so that a test's
/// virtual clock and a daemon's clock drive the same code. In a daemon it counts suspended time
/// (CLOCK_BOOTTIME); with one that stops during a suspend, a process that wakes would still believe
/// in a lease that has lapsed.
struct decision_clock {
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true;
};

using time_point = decision_clock::time_point;
using duration = decision_clock::duration;

/// A point later than every deadline: "no deadline".
inline constexpr time_point never = time_point::max();

/// Wall-clock milliseconds since 1970, only for records that people read; no decision uses it.
using wall_time_ms = strong<struct wall_time_tag, std::int64_t>;

using token_count = strong<struct token_count_tag, std::uint64_t>;

/// Money in millionths of the organisation's currency unit, so that sums stay exact.
using micro_money = strong<struct micro_money_tag, std::int64_t>;

/// A share in thousandths, 0 to 1000.
using permille = strong<struct permille_tag, std::uint32_t>;

} // namespace reedramp::common
