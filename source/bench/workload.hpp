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

/// The two users' servers and requests as the measurements of placement assume them.
namespace reedramp::bench {

/// Servers, entries and requests of one user.
struct shape {
    std::string name;
    /// Replicas of each version.
    std::vector<std::size_t> replicas;
    std::size_t entries = 3;
    std::size_t data_centres = 3;
    /// One-way trips between processes, within and between data centres.
    common::duration near_trip{};
    common::duration far_trip{};
    std::size_t organisations = 10;
    /// Requests that one engine runs at once.
    std::size_t slots = 4;
    double prompt_tokens = 800.0;
    double completion_tokens = 40.0;
    /// How many of a prompt's tokens are the prefix that requests share, and how many prefixes
    /// there are for each version.
    double prefix_share = 0.7;
    std::size_t prefixes = 200;
    /// Prefixes that one engine's cache holds.
    std::size_t cached_prefixes = 60;

    [[nodiscard]] auto servers() const -> std::size_t;
    /// Mean seconds of a request on an idle server without cache.
    [[nodiscard]] auto mean_seconds() const -> double;
};

auto steinhauser_shape() -> shape;
auto abay_shape() -> shape;
/// 390 entries before 620 replicas of 7 versions.
auto full_shape() -> shape;

/// Tokens a second of one running request.
inline constexpr double prefill_rate = 4000.0;
inline constexpr double decode_rate = 50.0;

/// One request. What follows `truth` a policy never sees.
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

/// Poisson arrivals at a share of what the servers can do. A few organisations are large.
class arrivals {
public:
    arrivals(const shape& whose, double load, common::duration time_left, std::uint64_t seed);

    auto next() -> job;

private:
    const shape& owner;
    common::duration time_left;
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

/// An engine with the agent's queue before it.
class fake_server {
public:
    fake_server(const shape& whose, placement::fair_queue_settings settings);

    /// What the queue is told of a request: the completion is only expected.
    [[nodiscard]] auto ask_for(const job& item) const -> placement::queued_request;

    /// What it costs in tokens of completion; a prompt's token is read that much faster.
    [[nodiscard]] static auto spent(const job& item) -> common::token_count;

    /// Seconds that it runs here; takes its prefix into the cache.
    auto run_seconds(const job& item, bool& hit) -> double;

    [[nodiscard]] auto answer() const -> messages::probe_answer;

    placement::fair_queue queue;
    common::server_id id;
    std::size_t version = 0;
    std::size_t data_centre = 0;
    double slowness = 1.0;
    bool lost = false;

private:
    const shape& owner;
    /// Least recently used first.
    std::deque<std::size_t> cache;
};

} // namespace reedramp::bench
