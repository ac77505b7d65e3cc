#pragma once

namespace reedramp::bench {

/// Measures cost at the quality target: `<user>_cost_ratio_to_oracle` and related metrics.
auto policy_bench() -> void;

/// Measures exposure to bad versions: `<user>_exposed_requests` and related metrics.
auto exposure_bench() -> void;

/// Measures waiting times, cache hits, overload and fairness of placement and queueing.
auto placement_bench() -> void;

/// Measures shared limits while entries fail, join or cannot reach each other.
auto limits_bench() -> void;

} // namespace reedramp::bench
