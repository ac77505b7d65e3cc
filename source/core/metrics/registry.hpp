#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

/// Counters, gauges and histograms, and their Prometheus text. All members may be called from any
/// thread.
namespace reedramp::metrics {

struct label {
    std::string name;
    std::string value;

    // The linter takes the 0 that the compiler compares with for a null pointer.
    auto operator<=>(const label&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Labels of one series. Their values must come from a bounded set (versions, result codes), never
/// from callers' text: each new value is kept until the process ends.
using labels = std::vector<label>;

/// A number that only grows.
class counter {
public:
    auto add(std::uint64_t amount = 1) -> void
    {
        this->total.fetch_add(amount, std::memory_order_relaxed);
    }

    [[nodiscard]] auto value() const -> std::uint64_t
    {
        return this->total.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> total{0};
};

/// A number that goes up and down.
class gauge {
public:
    auto set(std::int64_t value) -> void { this->current.store(value, std::memory_order_relaxed); }

    auto add(std::int64_t amount) -> void
    {
        this->current.fetch_add(amount, std::memory_order_relaxed);
    }

    [[nodiscard]] auto value() const -> std::int64_t
    {
        return this->current.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> current{0};
};

/// Buckets of a histogram: their width grows with the value, so that the relative error of a
/// quantile is the same over the whole range. Values outside the range are counted in the first or
/// beyond the last bucket.
struct histogram_range {
    double lowest = 1.0;
    double highest = 1e8;
    /// 20 keep a quantile's relative error below 13 %.
    unsigned buckets_per_decade = 20;
};

/// Counts values in logarithmic buckets (Boost.Histogram). Threads write to different shards.
class histogram {
public:
    explicit histogram(histogram_range range);
    ~histogram();
    histogram(const histogram&) = delete;
    histogram(histogram&&) = delete;
    auto operator=(const histogram&) -> histogram& = delete;
    auto operator=(histogram&&) -> histogram& = delete;

    auto record(double value) -> void;

    struct bucket {
        /// Values below this bound are counted in this bucket or an earlier one; infinity at last.
        double upper = 0.0;
        std::uint64_t cumulative = 0;
    };

    struct snapshot {
        std::vector<bucket> buckets;
        std::uint64_t count = 0;
        double sum = 0.0;

        /// The value below which the share `part` (0 to 1) of all values lies, interpolated inside
        /// its bucket; 0 when nothing was recorded.
        [[nodiscard]] auto quantile(double part) const -> double;
    };

    /// All shards added up.
    [[nodiscard]] auto read() const -> snapshot;

private:
    struct shard;
    static constexpr std::size_t shard_count = 8;

    histogram_range range;
    std::array<std::unique_ptr<shard>, shard_count> shards;
};

/// Holds the series of one process. References stay valid as long as the registry.
class registry {
public:
    /// The series of this name and these labels, made at its first use. The help text of the first
    /// call for a name is kept.
    /// @throws std::logic_error when the name already stands for another kind of series.
    auto counter_of(std::string_view name, std::string_view help, const labels& which = {})
        -> counter&;
    auto gauge_of(std::string_view name, std::string_view help, const labels& which = {}) -> gauge&;
    auto histogram_of(
        std::string_view name,
        std::string_view help,
        const labels& which = {},
        histogram_range range = {}) -> histogram&;

    /// All series in the Prometheus text format, version 0.0.4.
    [[nodiscard]] auto prometheus_text() const -> std::string;

private:
    enum class series_kind : std::uint8_t { counter, gauge, histogram };

    struct series {
        std::unique_ptr<counter> as_counter;
        std::unique_ptr<gauge> as_gauge;
        std::unique_ptr<histogram> as_histogram;
    };

    struct family {
        series_kind kind = series_kind::counter;
        std::string help;
        std::map<labels, series> members;
    };

    auto
    member_of(series_kind kind, std::string_view name, std::string_view help, const labels& which)
        -> series&;
    static auto
    write_series(std::string& text, const std::string& name, const labels& which, const series& one)
        -> void;

    mutable std::mutex lock;
    std::map<std::string, family, std::less<>> families;
};

} // namespace reedramp::metrics
