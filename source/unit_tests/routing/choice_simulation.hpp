#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "../max_count_within.hpp"
#include "routing/server_choice.hpp"

/// Simulation of many entries in front of many servers, without a network: uses the real trackers
/// and the real choice, with reports of the other entries that are as old as a test sets.
namespace reedramp::routing::testing {

struct simulation_shape {
    std::size_t entries = 103;
    std::size_t servers = 180;
    std::size_t data_centres = 5;
    /// Mean age of an entry's knowledge of the others. Zero: all share one load tracker.
    std::chrono::milliseconds view_age{1300};
    /// Utilisation of the servers.
    double load = 0.75;
    /// Fraction of the requests that share one prefix; the others have their own.
    double hot_share = 0.0;
    /// Work of each request, as a factor for `short_work` and `long_work`.
    double work_part = 1.0;
    /// Number of servers that return, without work and cold for three seconds, when the measurement
    /// starts.
    std::size_t returning = 0;
    /// Whether entries use send slots at cold servers; without, cold servers are treated like
    /// others.
    bool uses_send_slots = true;
    std::uint64_t seed = 1;
};

struct simulation_result {
    /// Queued work that a request found at its server, in tokens.
    double p50 = 0.0;
    double p99 = 0.0;
    /// Servers that received at least a hundredth of the requests with the shared prefix.
    std::size_t hot_holders = 0;
    /// Fraction of the other prompts' requests that went to the server with their prefix.
    double kept = 0.0;
    /// For the returned servers: the most requests that one received within a second while it was
    /// cold, and the time until together they received their proportional share within half a
    /// second.
    std::size_t max_while_cold = 0;
    std::chrono::milliseconds recovery_time{0};
};

/// Rate that a cold server can handle per second, over all entries.
constexpr double cold_rate = 12.0;
constexpr double cold_excess = 1.5;
constexpr double cold_slack = 5.0;
constexpr std::size_t cold_bound = 23;

/// Three short prompts for each long one; half of the others' time is answers. Tokens as counted by
/// the load tracker.
constexpr double short_work = 2'600.0;
constexpr double long_work = 13'000.0;
constexpr double long_share = 0.25;
/// Tokens that a server processes per second: a short request takes a quarter of a second, a long
/// one more than a second, as on busy engines.
constexpr double server_pace = 10'000.0;
/// Tokens of a shared prefix.
constexpr double shared_work = 1'500.0;
constexpr std::size_t other_prompts = 400;

/// Returns the maximum number of sends within any second. `sends` must be in order.
inline auto max_per_second(const std::vector<time_point>& sends) -> std::size_t
{
    return reedramp::testing::max_count_within(sends, std::chrono::seconds{1});
}

/// Runs the simulation for `time`, after a warm-up of the same length that is not measured.
auto run_simulation(
    const simulation_shape& shape, const choice_options& options, std::chrono::seconds time)
    -> simulation_result;

} // namespace reedramp::routing::testing
