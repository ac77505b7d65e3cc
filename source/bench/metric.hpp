#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Simulations on a virtual clock that measure routing decisions by calling the libraries directly.
namespace reedramp::bench {

/// Prints "METRIC <name> <value> <unit>".
auto print_metric(std::string_view name, double value, std::string_view unit) -> void;

/// Whether lower or higher values of a metric are better.
enum class better : std::uint8_t { lower, higher };

/// Prints the median of `values` as `<name>` and the worst as `<name>_worst`; `values` holds one
/// value per seed.
auto print_sample(
    const std::string& name, std::vector<double> values, std::string_view unit, better direction)
    -> void;

auto median_of(std::vector<double> values) -> double;

/// The nearest-rank quantile: the rank is rounded up, without interpolation, so the result is
/// always one of `values`. NaN if `values` is empty.
auto quantile_of(std::vector<double> values, double share) -> double;

/// Number of runs of each measurement; the seeds are 1 to `seed_count`.
inline constexpr std::uint64_t seed_count = 20;

} // namespace reedramp::bench
