#include <cmath>
#include <cstdio>
#include <future>
#include <map>

#include "cluster.hpp"
#include "metric.hpp"
#include "parts.hpp"

namespace reedramp::bench {

namespace {

constexpr std::size_t threads = 4;

/// One value for each seed of one quantity.
using sample = std::vector<double>;

auto name_of(method how) -> const char*
{
    switch (how) {
    case method::random:
        return "random";
    case method::round_robin:
        return "round_robin";
    case method::least_requests:
        return "least_requests";
    case method::probing:
        return "probing";
    case method::central:
        return "central";
    case method::prefix_only:
        return "prefix_only";
    }
    return "";
}

/// Runs all seeds, a few at once.
auto run_seeds(const shape& owner, run_options options) -> std::vector<run_result>
{
    std::vector<run_result> results(seed_count);
    std::vector<std::future<void>> running;
    for (std::size_t thread = 0; thread < threads; ++thread) {
        running.push_back(std::async(std::launch::async, [&, thread] {
            for (auto seed = thread; seed < seed_count; seed += threads) {
                auto own = options;
                own.seed = seed + 1;
                results[seed] = run_cluster(owner, own);
            }
        }));
    }
    for (auto& one : running) {
        one.get();
    }
    return results;
}

auto p99(const std::vector<double>& values) -> double
{
    return quantile_of(values, 0.99);
}

auto waits_of(const std::vector<run_result>& runs) -> sample
{
    sample values;
    for (const auto& run : runs) {
        values.push_back(p99(run.waits));
    }
    return values;
}

auto ratios(const sample& values, const sample& to) -> sample
{
    sample made;
    for (std::size_t index = 0; index < values.size(); ++index) {
        made.push_back(values[index] / to[index]);
    }
    return made;
}

auto print_row(const char* text, const run_options& options, const std::vector<run_result>& runs)
    -> void
{
    const auto waits = waits_of(runs);
    sample latencies;
    sample refused;
    sample probes;
    for (const auto& run : runs) {
        latencies.push_back(p99(run.latencies));
        const auto offered = static_cast<double>(std::max<std::size_t>(run.offered, 1));
        probes.push_back(static_cast<double>(run.probes) / offered);
        refused.push_back(
            static_cast<double>(run.refused) /
            static_cast<double>(std::max<std::size_t>(run.offered, 1)));
    }
    std::printf(
        "%-28s %-14s wait_p99 %7.4f s (worst %7.4f)  latency_p99 %7.3f s  refused %.4f  probes "
        "%.2f\n",
        text,
        name_of(options.how),
        median_of(waits),
        quantile_of(waits, 1.0),
        median_of(latencies),
        median_of(refused),
        median_of(probes));
}

auto compare(const shape& owner, double load, run_options options) -> void
{
    char text[48];
    std::snprintf(text, sizeof text, "%s load %.2f", owner.name.c_str(), load);
    std::map<method, sample> waits;
    for (const auto how :
         {method::random,
          method::round_robin,
          method::least_requests,
          method::probing,
          method::central}) {
        options.how = how;
        const auto runs = run_seeds(owner, options);
        waits[how] = waits_of(runs);
        print_row(text, options, runs);
    }
    if (load != 0.8) {
        return;
    }
    print_sample(owner.name + "_wait_p99", waits[method::probing], "s", better::lower);
    // At full size the bound's wait is zero, and so no ratio to it has a meaning.
    const auto bound = median_of(waits[method::central]) > 0.0;
    print_sample(
        owner.name + (bound ? "_wait_p99_ratio_to_central" : "_wait_p99_ratio_to_least_requests"),
        ratios(waits[method::probing], waits[bound ? method::central : method::least_requests]),
        "ratio",
        better::lower);
    print_sample(
        owner.name + "_wait_p99_ratio_to_round_robin",
        ratios(waits[method::probing], waits[method::round_robin]),
        "ratio",
        better::lower);
}

} // namespace

auto placement_bench() -> void
{
    for (const auto& owner : {steinhauser_shape(), abay_shape()}) {
        for (const auto load : {0.5, 0.8, 0.95}) {
            run_options options;
            options.load = load;
            compare(owner, load, options);
        }
    }
    for (const auto load : {0.8, 0.95}) {
        run_options options;
        options.load = load;
        options.seconds = 15.0;
        options.warm_up = 6.0;
        compare(full_shape(), load, options);
    }
}

} // namespace reedramp::bench
