#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/units.hpp"
#include "messages/run.hpp"
#include "placement/fair_queue.hpp"

/// Simulated servers and requests for the placement benchmarks.
namespace reedramp::bench {

/// Servers, entries and requests of one user.
struct cluster_shape {
    std::string name;
    /// Replicas of each version.
    std::vector<std::size_t> replicas;
    std::size_t entries = 3;
    std::size_t data_centres = 3;
    /// One-way latency between processes, within and between data centres.
    common::duration near_latency{};
    common::duration far_latency{};
    std::size_t organisations = 10;
    /// Requests that one engine runs concurrently.
    std::size_t slots = 4;
    double prompt_tokens = 800.0;
    double completion_tokens = 40.0;
    /// Share of a prompt's tokens that is the shared prefix, and number of distinct prefixes per
    /// version.
    double prefix_share = 0.7;
    std::size_t prefixes = 200;
    /// Prefixes that one engine's cache holds.
    std::size_t cached_prefixes = 60;

    [[nodiscard]] auto servers() const -> std::size_t;
    /// Mean seconds of a request on an idle server without cache.
    [[nodiscard]] auto mean_seconds() const -> double;
};

auto steinhauser_shape() -> cluster_shape;
auto abay_shape() -> cluster_shape;
/// 390 entries in front of 620 replicas of 7 versions.
auto full_shape() -> cluster_shape;

/// Tokens per second of one running request.
inline constexpr double prefill_rate = 4000.0;
inline constexpr double decode_rate = 50.0;

/// One request. The policy never sees the fields in `truth`.
struct job {
    std::size_t number = 0;
    common::time_point arrival;
    common::time_point deadline;
    std::size_t version = 0;
    std::size_t organisation = 0;
    std::size_t entry = 0;
    std::size_t prefix = 0;
    double prompt = 0.0;

    struct {
        double completion = 0.0;
    } truth;
};

/// Generates Poisson arrivals at `load` times the servers' capacity. Organisations and prefixes
/// have harmonic weights, so a few of them make up most of the traffic.
class arrival_generator {
public:
    arrival_generator(
        const cluster_shape& given_shape,
        double load,
        common::duration time_limit,
        std::uint64_t seed);

    auto next() -> job;

private:
    const cluster_shape& shape;
    common::duration time_limit;
    std::mt19937_64 random;
    std::exponential_distribution<double> gap;
    std::discrete_distribution<std::size_t> version;
    std::discrete_distribution<std::size_t> organisation;
    std::discrete_distribution<std::size_t> prefix;
    std::lognormal_distribution<double> length;
    double now = 0.0;
    std::size_t count = 0;
};

auto to_duration(double seconds) -> common::duration;
auto to_seconds(common::duration span) -> double;

/// A simulated engine with the agent's queue in front of it.
class simulated_server {
public:
    simulated_server(const cluster_shape& given_shape, placement::fair_queue_settings settings);

    /// The request as the queue sees it, with the expected completion length instead of the true
    /// one.
    [[nodiscard]] auto make_queued_request(const job& item) const -> placement::queued_request;

    /// Cost of the request in completion tokens; prompt tokens are weighted by
    /// `decode_rate / prefill_rate`, since they are processed faster.
    [[nodiscard]] static auto token_cost(const job& item) -> common::token_count;

    /// Run time of the request on this server in seconds. Adds its prefix to the cache; `hit` is
    /// set to whether the prefix was already there.
    auto run_seconds(const job& item, bool& hit) -> double;

    [[nodiscard]] auto answer() const -> messages::probe_answer;

    placement::fair_queue queue;
    common::server_id id;
    std::size_t version = 0;
    std::size_t data_centre = 0;
    double slowdown = 1.0;
    bool lost = false;

private:
    const cluster_shape& shape;
    /// Least recently used first.
    std::deque<std::size_t> cache;
};

} // namespace reedramp::bench
