#include <algorithm>
#include <cmath>
#include <limits>
#include <thread>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "metrics/registry.hpp"

namespace reedramp::metrics {

namespace {

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using counts = boost::histogram::
    histogram<std::tuple<log_axis>, boost::histogram::dense_storage<std::uint64_t>>;

auto make_counts(const histogram_range& range) -> counts
{
    const double decades = std::log10(range.highest / range.lowest);
    const auto buckets = static_cast<unsigned>(std::lround(decades * range.buckets_per_decade));
    return boost::histogram::make_histogram_with(
        boost::histogram::dense_storage<std::uint64_t>{},
        log_axis{std::max(buckets, 1U), range.lowest, range.highest});
}

} // namespace

struct histogram::shard {
    explicit shard(const histogram_range& range) : values(make_counts(range)) {}

    std::mutex lock;
    counts values;
    double sum = 0.0;
};

histogram::histogram(histogram_range range_to_use) : range(range_to_use)
{
    for (auto& part : this->shards) {
        part = std::make_unique<shard>(this->range);
    }
}

histogram::~histogram() = default;

auto histogram::record(double value) -> void
{
    static thread_local const std::size_t mine =
        std::hash<std::thread::id>{}(std::this_thread::get_id()) % shard_count;
    auto& part = *this->shards[mine];
    const std::lock_guard guard(part.lock);
    // The logarithm of a value that is not positive is no bucket's; it counts as the smallest.
    part.values(std::max(value, this->range.lowest * 0.5));
    part.sum += value;
}

auto histogram::read() const -> snapshot
{
    auto total = make_counts(this->range);
    snapshot taken;
    for (const auto& part : this->shards) {
        const std::lock_guard guard(part->lock);
        total += part->values;
        taken.sum += part->sum;
    }
    const auto& axis = total.axis();
    for (int index = -1; index <= axis.size(); index += 1) {
        taken.count += total.at(index);
        const double upper =
            index == axis.size() ? std::numeric_limits<double>::infinity() : axis.value(index + 1);
        taken.buckets.push_back({upper, taken.count});
    }
    return taken;
}

auto histogram::snapshot::quantile(double part) const -> double
{
    if (this->count == 0) {
        return 0.0;
    }
    const double wanted = part * static_cast<double>(this->count);
    const auto found = std::ranges::find_if(this->buckets, [wanted](const bucket& item) {
        return static_cast<double>(item.cumulative) >= wanted && item.cumulative > 0;
    });
    const bool is_first = found == this->buckets.begin();
    if (is_first) {
        return found->upper;
    }
    const auto& before = *std::prev(found);
    if (std::isinf(found->upper)) {
        return before.upper;
    }
    const auto inside = static_cast<double>(found->cumulative - before.cumulative);
    const double step = (wanted - static_cast<double>(before.cumulative)) / inside;
    return before.upper + (found->upper - before.upper) * std::clamp(step, 0.0, 1.0);
}

} // namespace reedramp::metrics
