#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace reedramp::bench {

namespace {

/// Standard deviation of the logarithm of lengths; exp(normal(-s*s/2, s)) has mean 1.
constexpr double length_spread = 0.8;

/// Weights 1, 1/2, 1/3 and so on, so that a few items dominate.
auto harmonic_weights(std::size_t count) -> std::vector<double>
{
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= count; ++rank) {
        weights.push_back(1.0 / static_cast<double>(rank));
    }
    return weights;
}

} // namespace

auto cluster_shape::servers() const -> std::size_t
{
    return std::accumulate(this->replicas.begin(), this->replicas.end(), std::size_t{0});
}

auto cluster_shape::mean_seconds() const -> double
{
    return this->prompt_tokens / prefill_rate + this->completion_tokens / decode_rate;
}

auto steinhauser_shape() -> cluster_shape
{
    using std::chrono::microseconds;
    cluster_shape made;
    made.name = "steinhauser";
    made.replicas = {6, 4, 2};
    made.near_latency = microseconds(100);
    made.far_latency = microseconds(500);
    return made;
}

auto abay_shape() -> cluster_shape
{
    using std::chrono::microseconds;
    auto made = steinhauser_shape();
    made.name = "abay";
    made.replicas = {8, 6, 4};
    made.far_latency = microseconds(1500);
    return made;
}

auto full_shape() -> cluster_shape
{
    auto made = steinhauser_shape();
    made.name = "full";
    made.replicas = {89, 89, 89, 89, 88, 88, 88};
    made.entries = 390;
    made.data_centres = 6;
    return made;
}

arrival_generator::arrival_generator(
    const cluster_shape& given_shape, double load, common::duration left, std::uint64_t seed)
    : shape(given_shape), time_limit(left), random(seed),
      gap(load * static_cast<double>(given_shape.servers() * given_shape.slots) /
          given_shape.mean_seconds()),
      version(given_shape.replicas.begin(), given_shape.replicas.end()),
      length(-length_spread * length_spread / 2.0, length_spread)
{
    const auto sizes = harmonic_weights(given_shape.organisations);
    this->organisation = {sizes.begin(), sizes.end()};
    const auto uses = harmonic_weights(given_shape.prefixes);
    this->prefix = {uses.begin(), uses.end()};
}

auto arrival_generator::next() -> job
{
    this->now += this->gap(this->random);
    job made;
    made.number = this->count++;
    made.arrival = common::time_point(to_duration(this->now));
    made.deadline = made.arrival + this->time_limit;
    made.version = this->version(this->random);
    made.organisation = this->organisation(this->random);
    made.entry = this->random() % this->shape.entries;
    made.prefix = this->prefix(this->random);
    made.prompt = this->shape.prompt_tokens * this->length(this->random);
    made.truth.completion = this->shape.completion_tokens * this->length(this->random);
    return made;
}

auto to_duration(double seconds) -> common::duration
{
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(seconds));
}

auto to_seconds(common::duration span) -> double
{
    return std::chrono::duration<double>(span).count();
}

simulated_server::simulated_server(
    const cluster_shape& given_shape, placement::fair_queue_settings settings)
    : queue(settings), shape(given_shape)
{
}

auto simulated_server::make_queued_request(const job& item) const -> placement::queued_request
{
    placement::queued_request made;
    made.key.request = {1, item.number};
    made.organisation = common::organisation_id("o" + std::to_string(item.organisation));
    auto expected = item;
    expected.truth.completion = this->shape.completion_tokens;
    made.cost = token_cost(expected);
    made.deadline = item.deadline;
    return made;
}

auto simulated_server::token_cost(const job& item) -> common::token_count
{
    const auto cost = item.prompt * decode_rate / prefill_rate + item.truth.completion;
    return common::token_count(static_cast<std::uint64_t>(std::max(1.0, cost)));
}

auto simulated_server::run_seconds(const job& item, bool& hit) -> double
{
    const auto found = std::ranges::find(this->cache, item.prefix);
    hit = found != this->cache.end();
    if (hit) {
        this->cache.erase(found);
    }
    else if (this->cache.size() >= this->shape.cached_prefixes && !this->cache.empty()) {
        this->cache.pop_front();
    }
    if (this->shape.cached_prefixes > 0) {
        this->cache.push_back(item.prefix);
    }
    const auto prefill = item.prompt * (hit ? 1.0 - this->shape.prefix_share : 1.0) / prefill_rate;
    return this->slowdown * (prefill + item.truth.completion / decode_rate);
}

auto simulated_server::answer() const -> messages::probe_answer
{
    messages::probe_answer made;
    made.server = this->id;
    made.serves_version = true;
    made.in_flight = static_cast<std::uint32_t>(this->queue.running());
    made.queued = static_cast<std::uint32_t>(this->queue.queued());
    made.estimated_wait = this->queue.estimated_wait();
    return made;
}

} // namespace reedramp::bench
