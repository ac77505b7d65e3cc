#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Measurements of the decisions on a virtual clock: each part calls the libraries directly.
namespace reedramp::bench {

/// Prints "METRIC <name> <value> <unit>".
auto print_metric(std::string_view name, double value, std::string_view unit) -> void;

/// Which end of a sample is the bad one.
enum class better : std::uint8_t { lower, higher };

/// Prints `<name>` (the median) and `<name>_worst` of one value a seed.
auto print_sample(
    const std::string& name, std::vector<double> values, std::string_view unit, better direction)
    -> void;

auto median_of(std::vector<double> values) -> double;

/// Linear interpolation is not used: the value at the rank rounded up, so that it was measured.
auto quantile_of(std::vector<double> values, double share) -> double;

/// Seeds of all repeated measurements: 1 to 20.
inline constexpr std::uint64_t seed_count = 20;

} // namespace reedramp::bench
