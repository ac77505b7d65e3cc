#pragma once

namespace reedramp::bench {

/// Cost at the quality target: `<user>_cost_ratio_to_oracle` and its kin.
auto policy_bench() -> void;

/// Exposure to bad versions: `<user>_exposed_requests` and its kin.
auto exposure_bench() -> void;

/// Waits, caches, surges and fairness of placement and queues.
auto placement_bench() -> void;

/// Shared limits with entries that are lost, join or do not hear each other.
auto limits_bench() -> void;

} // namespace reedramp::bench
