#pragma once

#include <vector>

#include "placement/probe_pool.hpp"
#include "placement/server_selector.hpp"
#include "workload.hpp"

namespace reedramp::bench {

enum class method : std::uint8_t {
    random,
    round_robin,
    /// Least requests by reports that lag, plus what the entry sent since.
    least_requests,
    probing,
    /// One queue for each version that knows at once when a slot is free.
    central,
    /// Always the prefix's own server; the best that caches can do.
    prefix_only,
};

struct run_options {
    method how = method::probing;
    double load = 0.8;
    double seconds = 120.0;
    /// Requests before this are not counted.
    double warm_up = 20.0;
    common::duration time_left = std::chrono::seconds(30);
    std::uint64_t seed = 1;
    /// Server 0 is this many times slower.
    double slowness = 1.0;
    /// A data centre is lost after a half of the time.
    bool lose_data_centre = false;
    /// The agents' queues know neither organisations nor deadlines.
    bool first_come = false;
    /// Requests carry the hash of their prefix.
    bool use_prefix = false;
    placement::server_selector_settings chooser;
    placement::probe_pool_settings pool;
    placement::fair_queue_settings queue;
};

struct run_result {
    /// Seconds from arrival at the entry to the start on an engine, and to the end of the answer.
    std::vector<double> waits;
    std::vector<double> latencies;
    std::size_t offered = 0;
    std::size_t refused = 0;
    std::size_t late = 0;
    std::size_t hits = 0;
    std::size_t probes = 0;
    /// Seconds of slots spent on answers that came in time.
    double useful_seconds = 0.0;
    /// Seconds without caches of what came in time, and of what was offered, by organisation.
    std::vector<double> answered_work;
    std::vector<double> offered_work;
    /// Waits of requests whose prompt is at least three times the mean.
    std::vector<double> large_waits;
};

/// Runs one method on one sequence of arrivals; the same seed gives all methods the same one.
auto run_cluster(const shape& owner, const run_options& options) -> run_result;

} // namespace reedramp::bench
