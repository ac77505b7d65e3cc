#include <algorithm>
#include <cstdio>
#include <future>
#include <map>
#include <numeric>
#include <string>

#include "cluster.hpp"
#include "metric.hpp"
#include "parts.hpp"
#include "policy/option_choice.hpp"

namespace reedramp::bench {

namespace {

constexpr std::size_t threads = 4;

/// Values of one quantity, one per seed.
using sample = std::vector<double>;

auto name_of(balancing_method method) -> const char*
{
    switch (method) {
    case balancing_method::random:
        return "random";
    case balancing_method::round_robin:
        return "round_robin";
    case balancing_method::least_requests:
        return "least_requests";
    case balancing_method::probing:
        return "probing";
    case balancing_method::central:
        return "central";
    case balancing_method::prefix_only:
        return "prefix_only";
    }
    return "";
}

/// Runs all seeds, on `threads` threads.
auto run_seeds(const cluster_shape& shape, run_options options) -> std::vector<run_result>
{
    std::vector<run_result> results(seed_count);
    std::vector<std::future<void>> running;
    for (std::size_t thread = 0; thread < threads; ++thread) {
        running.push_back(std::async(std::launch::async, [&, thread] {
            for (auto seed = thread; seed < seed_count; seed += threads) {
                auto own = options;
                own.seed = seed + 1;
                results[seed] = run_cluster(shape, own);
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

auto print_row(const std::string& text, const char* way, const std::vector<run_result>& runs)
    -> void
{
    sample latencies;
    sample refused;
    sample probes;
    for (const auto& run : runs) {
        latencies.push_back(p99(run.latencies));
        const auto offered = static_cast<double>(std::max<std::size_t>(run.offered, 1));
        refused.push_back(static_cast<double>(run.refused) / offered);
        probes.push_back(static_cast<double>(run.probes) / offered);
    }
    const auto waits = waits_of(runs);
    std::printf(
        "%-28s %-14s wait_p99 %8.4f s (worst %8.4f)  latency_p99 %7.3f s  refused %.4f  probes "
        "%.2f\n",
        text.c_str(),
        way,
        median_of(waits),
        quantile_of(waits, 1.0),
        median_of(latencies),
        median_of(refused),
        median_of(probes));
}

using wait_table = std::map<balancing_method, sample>;

auto compare(const std::string& text, const cluster_shape& shape, run_options options) -> wait_table
{
    wait_table waits;
    for (const auto method :
         {balancing_method::random,
          balancing_method::round_robin,
          balancing_method::least_requests,
          balancing_method::probing,
          balancing_method::central}) {
        options.method = method;
        const auto runs = run_seeds(shape, options);
        waits[method] = waits_of(runs);
        print_row(text, name_of(method), runs);
    }
    return waits;
}

auto print_ratio(const std::string& name, const wait_table& waits, balancing_method to) -> void
{
    const auto metric = name + "_wait_p99_ratio_to_" + name_of(to);
    print_sample(
        metric, ratios(waits.at(balancing_method::probing), waits.at(to)), "ratio", better::lower);
}

auto measure_loads(const cluster_shape& shape) -> void
{
    for (const auto load : {0.5, 0.8, 0.95}) {
        run_options options;
        options.load = load;
        const auto text = shape.name + " load " + std::to_string(load).substr(0, 4);
        const auto waits = compare(text, shape, options);
        if (load == 0.8) {
            print_ratio(shape.name, waits, balancing_method::central);
            print_ratio(shape.name, waits, balancing_method::round_robin);
        }
    }
}

auto measure_faults(const cluster_shape& shape) -> void
{
    run_options slow;
    slow.slowdown = 5.0;
    auto waits = compare(shape.name + " server 5x slow", shape, slow);
    print_ratio(shape.name + "_slow_server", waits, balancing_method::round_robin);
    run_options lost;
    lost.load = 0.5;
    lost.lose_data_centre = true;
    waits = compare(shape.name + " pool lost", shape, lost);
    print_ratio(shape.name + "_lost_pool", waits, balancing_method::round_robin);
}

/// Prints the wait itself instead of a ratio, since the central queue's wait is zero at full size.
auto measure_full_size() -> void
{
    // Per probe: 160 bytes for the RPC call, 160 for its answer and 40 for its finish message.
    constexpr double bytes_per_probe = 360.0;
    constexpr double requests_per_entry = 4200.0 / 390.0;
    const auto shape = full_shape();
    run_options options;
    options.seconds = 15.0;
    options.warm_up = 6.0;
    for (const auto load : {0.8, 0.95}) {
        options.load = load;
        compare("full load " + std::to_string(load).substr(0, 4), shape, options);
    }
    options.load = 0.8;
    for (const auto* name : {"", "prefix_"}) {
        options.use_prefix = *name != '\0';
        const auto runs = run_seeds(shape, options);
        sample bytes;
        for (const auto& run : runs) {
            const auto probes = static_cast<double>(run.probes) / static_cast<double>(run.offered);
            bytes.push_back(probes * requests_per_entry * bytes_per_probe);
        }
        print_sample(std::string("full_") + name + "wait_p99", waits_of(runs), "s", better::lower);
        print_sample(std::string(name) + "probe_bytes_per_s_per_node", bytes, "B/s", better::lower);
    }
}

auto hit_ratios(const std::vector<run_result>& runs) -> sample
{
    sample values;
    for (const auto& run : runs) {
        const auto started = static_cast<double>(std::max<std::size_t>(run.waits.size(), 1));
        values.push_back(static_cast<double>(run.hits) / started);
    }
    return values;
}

auto measure_prefixes(const cluster_shape& shape) -> void
{
    run_options options;
    const auto without = run_seeds(shape, options);
    options.use_prefix = true;
    const auto with = run_seeds(shape, options);
    options.method = balancing_method::prefix_only;
    const auto best = run_seeds(shape, options);
    print_row(shape.name + " prefix unknown", "probing", without);
    print_row(shape.name + " prefix known", "probing", with);
    print_row(shape.name + " prefix known", "prefix_only", best);
    const auto name = shape.name + "_prefix_hit_ratio";
    const auto bound = hit_ratios(best);
    print_sample(name + "_to_best", ratios(hit_ratios(with), bound), "ratio", better::higher);
    print_sample(name + "_unknown", ratios(hit_ratios(without), bound), "ratio", better::higher);
}

/// Max-min fair shares of `total`: each organisation gets what it offers or an equal part of the
/// remainder, whichever is less.
auto max_min_shares(const sample& offered, double total) -> sample
{
    sample shares(offered.size(), 0.0);
    std::vector<std::size_t> order(offered.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::ranges::sort(order, {}, [&offered](std::size_t index) { return offered[index]; });
    auto left = order.size();
    for (const auto index : order) {
        shares[index] = std::min(offered[index], total / static_cast<double>(left--));
        total -= shares[index];
    }
    return shares;
}

/// Jain's fairness index of each organisation's answered work relative to its max-min share; 1 is
/// perfectly fair.
auto jain_index(const run_result& run) -> double
{
    const auto& got = run.answered_work;
    const auto total = std::accumulate(got.begin(), got.end(), 0.0);
    const auto shares = max_min_shares(run.offered_work, total);
    double sum = 0.0;
    double squares = 0.0;
    for (std::size_t index = 0; index < got.size(); ++index) {
        const auto part = got[index] / std::max(shares[index], 1e-9);
        sum += part;
        squares += part * part;
    }
    return sum * sum / (static_cast<double>(got.size()) * squares);
}

auto measure_surge(const cluster_shape& shape, run_options options, const std::string& name) -> void
{
    options.load = 1.3;
    options.time_limit = std::chrono::seconds(10);
    const auto runs = run_seeds(shape, options);
    const auto slots = static_cast<double>(shape.servers() * shape.slots);
    sample goodput;
    sample fairness;
    sample late;
    for (const auto& run : runs) {
        goodput.push_back(run.useful_seconds / (slots * (options.seconds - options.warm_up)));
        fairness.push_back(jain_index(run));
        late.push_back(static_cast<double>(run.late) / static_cast<double>(run.offered));
    }
    print_row(shape.name + " surge 1.30", name.empty() ? "probing" : name.c_str(), runs);
    print_sample(shape.name + name + "_surge_goodput_ratio", goodput, "ratio", better::higher);
    print_sample(shape.name + name + "_fairness_jain", fairness, "index", better::higher);
    print_sample(shape.name + name + "_surge_late_share", late, "share", better::lower);
}

/// Measures the time of one complete decision in nanoseconds: the choice among 7 versions and their
/// cascades, then the choice among 620 servers after one round of probes.
auto measure_decision() -> void
{
    constexpr std::size_t versions = 7;
    constexpr std::size_t servers = 620;
    constexpr std::size_t turns = 20'000;
    std::mt19937_64 engine(1);
    const auto random = [&engine] {
        return engine();
    };
    std::vector<policy::option> options;
    std::vector<std::vector<placement::candidate>> candidates(versions);
    for (std::size_t first = 0; first < versions; ++first) {
        const auto name = [](std::size_t index) {
            return common::version_id("version-" + std::to_string(index));
        };
        for (std::size_t second = first; second < versions; ++second) {
            policy::option made;
            made.key.first = name(first);
            if (second > first) {
                made.key.second = name(second);
            }
            made.expected_cost = common::micro_money(static_cast<std::int64_t>(first + second));
            options.push_back(made);
        }
        for (std::size_t number = first; number < servers; number += versions) {
            const common::server_id server("engine-vienna-" + std::to_string(number));
            candidates[first].push_back(
                placement::make_candidate(server, placement::server_distance::same_region));
        }
    }
    placement::probe_pool pool({});
    const placement::server_selector selector({});
    sample nanoseconds;
    common::time_point now;
    for (std::size_t turn = 0; turn < turns; ++turn) {
        now += std::chrono::milliseconds(1);
        placement::placement_request request;
        policy::choice_input input;
        input.options = options;
        auto begin = std::chrono::steady_clock::now();
        const auto choice = policy::choose(input);
        request.version = choice->key.first;
        request.prefix_hash = turn % 200 + 1;
        const auto& known = candidates[0];
        const auto plan = selector.plan(request, known, pool, 0, now, random);
        auto spent = std::chrono::steady_clock::now() - begin;
        for (const auto index : plan.targets) {
            messages::probe_answer answer;
            answer.server = known[index].server;
            answer.serves_version = true;
            pool.add(request.version, answer, known[index].distance, now);
        }
        begin = std::chrono::steady_clock::now();
        const auto more = selector.plan(request, known, pool, 1, now, random);
        const auto placed = selector.place(request, known, pool, now, random);
        spent += std::chrono::steady_clock::now() - begin;
        if (more.targets.empty() && placed) {
            nanoseconds.push_back(static_cast<double>(spent.count()));
        }
    }
    print_metric("decision_ns", median_of(nanoseconds), "ns");
    print_metric("decision_ns_p99", quantile_of(nanoseconds, 0.99), "ns");
}

} // namespace

auto placement_bench() -> void
{
    for (const auto& shape : {steinhauser_shape(), abay_shape()}) {
        measure_loads(shape);
        measure_faults(shape);
        measure_prefixes(shape);
        measure_surge(shape, {}, "");
        run_options first_come;
        first_come.first_come_first_served = true;
        first_come.queue.max_queued = 100'000;
        measure_surge(shape, first_come, "_first_come");
    }
    measure_full_size();
    measure_decision();
}

} // namespace reedramp::bench
