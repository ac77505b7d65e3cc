#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "common/units.hpp"

namespace reedramp::testing {

/// Returns the maximum number of `moments` within any `window`. `moments` must be in order.
inline auto
max_count_within(const std::vector<common::time_point>& moments, common::duration window)
    -> std::size_t
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < moments.size(); ++i) {
        while (moments[i] - moments[first] >= window) {
            ++first;
        }
        most = std::max(most, i - first + 1);
    }
    return most;
}

} // namespace reedramp::testing
