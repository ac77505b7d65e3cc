#include "metric.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace reedramp::bench {

auto print_metric(std::string_view name, double value, std::string_view unit) -> void
{
    std::printf(
        "METRIC %.*s %.6g %.*s\n",
        static_cast<int>(name.size()),
        name.data(),
        value,
        static_cast<int>(unit.size()),
        unit.data());
}

auto quantile_of(std::vector<double> values, double share) -> double
{
    if (values.empty()) {
        return std::nan("");
    }
    std::ranges::sort(values);
    const auto rank = std::ceil(share * static_cast<double>(values.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return values[std::min(index, values.size() - 1)];
}

auto median_of(std::vector<double> values) -> double
{
    return quantile_of(std::move(values), 0.5);
}

auto print_sample(
    const std::string& name, std::vector<double> values, std::string_view unit, better direction)
    -> void
{
    const double worst = quantile_of(values, direction == better::lower ? 1.0 : 0.0);
    print_metric(name, median_of(std::move(values)), unit);
    print_metric(name + "_worst", worst, unit);
}

} // namespace reedramp::bench
