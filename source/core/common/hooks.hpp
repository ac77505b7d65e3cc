#pragma once

#include <cstdint>
#include <functional>

#include "common/units.hpp"

namespace reedramp::common {

using clock_hook = std::function<auto()->time_point>;
using wall_clock_hook = std::function<auto()->wall_time_ms>;

/// 64 uniformly random bits.
using random_hook = std::function<auto()->std::uint64_t>;

/// Asks the surrounding program to run `action` once at `when` or soon after. There is no
/// cancellation: an action that is no longer wanted finds that out from its own state.
using timer_hook = std::function<auto(time_point when, std::function<auto()->void> action)->void>;

/// A double in [0, 1) from 53 of the random bits.
inline auto random_unit(const random_hook& random) -> double
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(random() >> 11U) * scale;
}

} // namespace reedramp::common
