#include "routing/server_speed_tracker.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace reedramp::routing {

namespace {

/// Work that stands for what each request costs besides its tokens: the way there and a step.
constexpr double fixed_work = 500.0;
/// Weight of the newest sample of a server, once it has enough of them; prompts differ by tens, and
/// so do single samples.
constexpr double memory = 0.08;
/// The same for the sums over all servers.
constexpr double sum_memory = 0.02;
/// A server counts as one like the others until it has this many samples.
constexpr unsigned least_samples = 4;
/// Bounds of what is believed. Servers of one service are alike but for a third. One that looks
/// much faster was idle when it was asked, or held the prompts; taken at its word, it got all new
/// requests of an entry for a second, was slow for that, and the next one got them.
constexpr double least_slowness = 0.7;
constexpr double most_slowness = 10.0;

} // namespace

auto server_speed_tracker::add_sample(record& to, double sample, double weight_of_newest) -> void
{
    to.samples += 1;
    // The first samples count alike; else the very first one would stand for many.
    const auto weight = std::max(weight_of_newest, 1.0 / static_cast<double>(to.samples));
    to.time_per_work += weight * (sample - to.time_per_work);
}

auto server_speed_tracker::note(
    const server_instance& server, std::chrono::milliseconds took, double work) -> void
{
    const auto sample = static_cast<double>(took.count()) / (work + fixed_work);
    add_sample(this->servers[server], sample, memory);
    this->find_usual();
    constexpr double kept = 1.0 - sum_memory;
    this->time_sum = this->time_sum * kept + static_cast<double>(took.count());
    this->work_sum = this->work_sum * kept + work + fixed_work;
}

auto server_speed_tracker::expected(double work) const -> std::chrono::milliseconds
{
    const auto time_per_work = this->work_sum > 0.0 ? this->time_sum / this->work_sum : 0.0;
    return std::chrono::milliseconds{
        static_cast<std::int64_t>(time_per_work * (work + fixed_work))};
}

auto server_speed_tracker::slowness(const server_instance& server) const -> double
{
    const auto found = this->servers.find(server);
    const bool is_known =
        found != this->servers.end() && found->second.samples >= least_samples && this->usual > 0.0;
    if (!is_known) {
        return 1.0;
    }
    return std::clamp(found->second.time_per_work / this->usual, least_slowness, most_slowness);
}

auto server_speed_tracker::find_usual() -> void
{
    std::vector<double> paces;
    for (const auto& [id, one] : this->servers) {
        if (one.samples >= least_samples) {
            paces.push_back(one.time_per_work);
        }
    }
    if (paces.empty()) {
        return;
    }
    const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::ranges::nth_element(paces, middle);
    this->usual = *middle;
}

auto server_speed_tracker::forget_if(
    const std::function<auto(const server_instance& server)->bool>& is_gone) -> void
{
    std::erase_if(this->servers, [&is_gone](const auto& item) { return is_gone(item.first); });
}

} // namespace reedramp::routing
