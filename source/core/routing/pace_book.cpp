#include "routing/pace_book.hpp"

#include <algorithm>

namespace reedramp::routing {

namespace {

/// Work that stands for what each request costs besides its tokens: the way there and a step.
constexpr double fixed_work = 500.0;
/// Weight of the newest sample of a server, once it has enough of them; prompts differ by tens, and
/// so do single samples.
constexpr double memory = 0.08;
/// The same for the mean of all.
constexpr double mean_memory = 0.02;
/// A server counts as one like the others until it has this many samples.
constexpr unsigned least_samples = 4;
/// Bounds of what is believed.
constexpr double least_slowness = 0.25;
constexpr double most_slowness = 10.0;

} // namespace

auto pace_book::add_sample(record& to, double sample, double weight_of_newest) -> void
{
    to.samples += 1;
    // The first samples count alike; else the very first one would stand for many.
    const auto weight = std::max(weight_of_newest, 1.0 / static_cast<double>(to.samples));
    to.time_per_work += weight * (sample - to.time_per_work);
}

auto pace_book::note(const common::server_id& server, std::chrono::milliseconds took, double work)
    -> void
{
    const auto sample = static_cast<double>(took.count()) / (work + fixed_work);
    add_sample(this->all, sample, mean_memory);
    add_sample(this->servers[server], sample, memory);
}

auto pace_book::slowness(const common::server_id& server) const -> double
{
    const auto found = this->servers.find(server);
    const bool is_known = found != this->servers.end() && found->second.samples >= least_samples &&
                          this->all.time_per_work > 0.0;
    if (!is_known) {
        return 1.0;
    }
    return std::clamp(
        found->second.time_per_work / this->all.time_per_work, least_slowness, most_slowness);
}

} // namespace reedramp::routing
