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
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 10.0;

} // namespace

auto pace_book::note(const common::server_id& server, std::chrono::milliseconds took, double work)
    -> void
{
    const auto sample = static_cast<double>(took.count()) / (work + fixed_work);
    auto& mean = this->mean_time_per_work;
    mean = mean == 0.0 ? sample : mean + mean_memory * (sample - mean);
    auto& of = this->servers[server];
    of.samples += 1;
    const auto weight = std::max(memory, 1.0 / static_cast<double>(of.samples));
    of.time_per_work += weight * (sample - of.time_per_work);
}

auto pace_book::slowness(const common::server_id& server) const -> double
{
    const auto found = this->servers.find(server);
    const bool is_known = found != this->servers.end() && found->second.samples >= least_samples &&
                          this->mean_time_per_work > 0.0;
    if (!is_known) {
        return 1.0;
    }
    return std::clamp(
        found->second.time_per_work / this->mean_time_per_work, least_slowness, most_slowness);
}

} // namespace reedramp::routing
