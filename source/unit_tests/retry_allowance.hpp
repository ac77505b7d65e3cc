#pragma once

#include <algorithm>
#include <vector>

#include "common/units.hpp"

namespace reedramp::testing {

/// What a deployment allows: in any window, a share of the service's requests is repeated, and
/// `extra` more, over all entries.
struct retry_allowance {
    double ratio = 0.0;
    common::duration window{};
    double extra = 0.0;
};

/// Requests to a service and repeats of them, at all entries, in order of time.
struct service_history {
    std::vector<common::time_point> requests;
    std::vector<common::time_point> repeats;
};

/// Number of moments in [from, to).
inline auto count_between(
    const std::vector<common::time_point>& moments, common::time_point from, common::time_point to)
    -> double
{
    const auto first = std::ranges::lower_bound(moments, from);
    return static_cast<double>(std::lower_bound(first, moments.end(), to) - first);
}

/// The most repeats beyond the allowance in any window; negative if there is always some left. The
/// requests are those of the window, of the one before it or of the one half a window before it,
/// whichever has most.
inline auto worst_excess(const service_history& seen, const retry_allowance& allowed) -> double
{
    constexpr int steps_per_window = 200;
    double worst = -allowed.extra;
    if (seen.repeats.empty()) {
        return worst;
    }
    const auto window = allowed.window;
    for (auto from = seen.repeats.front() - window; from <= seen.repeats.back();
         from += window / steps_per_window) {
        const auto requests = std::max(
            {count_between(seen.requests, from, from + window),
             count_between(seen.requests, from - window / 2, from + window / 2),
             count_between(seen.requests, from - window, from)});
        const auto repeats = count_between(seen.repeats, from, from + window);
        worst = std::max(worst, repeats - (allowed.ratio * requests + allowed.extra));
    }
    return worst;
}

} // namespace reedramp::testing
