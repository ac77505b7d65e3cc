#include "routing/server_speed_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace reedramp::routing {

namespace {

/// Fixed cost of each request besides its tokens, in units of work: the network round trip and one
/// step.
constexpr double fixed_work = 500.0;
/// Weight of a server's newest sample once it has enough of them. Prompts differ by factors of ten,
/// and so do single samples.
constexpr double memory = 0.08;
/// Weight of the newest sample in the sums over all servers.
constexpr double sum_memory = 0.02;
/// Samples needed before a server's own speed is used.
constexpr unsigned min_samples = 4;
/// Bounds of the estimate. Servers of one service differ by no more than a third. A server that
/// appears much faster was idle when it was used, or had the prompts cached; without a lower bound
/// it attracted all new requests of an entry for a second, became slow, and the next server
/// attracted them.
constexpr double min_slowness = 0.7;
constexpr double max_slowness = 10.0;
/// Weight of a server's newest pause: a mean over about `max_pace_samples` streams. An older mean
/// would count for no more samples, and notice a change of speed later.
constexpr double pause_memory = 0.2;
/// Samples of the usual speed that each server starts with.
constexpr double prior_samples = 3.0;
/// Shorter pauses are events of one packet.
constexpr double min_pause_ms = 0.01;

} // namespace

auto server_speed_tracker::add_sample(record& to, double sample, double weight_of_newest) -> void
{
    to.samples += 1;
    // The first samples have equal weight; otherwise the very first one would dominate.
    const auto weight = std::max(weight_of_newest, 1.0 / static_cast<double>(to.samples));
    to.time_per_work += weight * (sample - to.time_per_work);
}

auto server_speed_tracker::note(
    const server_instance& server, std::chrono::milliseconds took, double work) -> void
{
    const auto sample = static_cast<double>(took.count()) / (work + fixed_work);
    add_sample(this->servers[server], sample, memory);
    this->update_median();
    constexpr double kept = 1.0 - sum_memory;
    this->time_sum = this->time_sum * kept + static_cast<double>(took.count());
    this->work_sum = this->work_sum * kept + work + fixed_work;
}

auto server_speed_tracker::index_of(std::string_view model) -> std::size_t
{
    const auto found = std::ranges::find(this->models, model, &model_pauses::model);
    if (found == this->models.end() && this->models.size() < max_models) {
        this->models.push_back({.model = std::string{model}});
        return this->models.size() - 1;
    }
    return found == this->models.end() ? max_models
                                       : static_cast<std::size_t>(found - this->models.begin());
}

auto server_speed_tracker::note_pause(
    const server_instance& server, std::string_view model, double pause_ms) -> void
{
    const auto index = this->index_of(model);
    if (index == max_models || !std::isfinite(pause_ms)) {
        return;
    }
    auto& means = this->servers[server].pauses;
    means.resize(std::max(means.size(), index + 1));
    auto& mean = means[index];
    auto& all = this->models[index];
    all.servers += mean.samples == 0 ? 1 : 0;
    all.log_ms_sum -= mean.log_ms;
    mean.samples += 1;
    const auto weight = std::max(pause_memory, 1.0 / static_cast<double>(mean.samples));
    mean.log_ms += weight * (std::log(std::max(pause_ms, min_pause_ms)) - mean.log_ms);
    all.log_ms_sum += mean.log_ms;
}

auto server_speed_tracker::own_pace(const server_instance& server) const -> pace
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end()) {
        return {};
    }
    pace sum;
    const auto& means = found->second.pauses;
    for (std::size_t i = 0; i < means.size(); ++i) {
        if (means[i].samples > 0) {
            const auto& all = this->models[i];
            const auto samples = std::min(static_cast<double>(means[i].samples), max_pace_samples);
            sum.log_ratio += samples * (means[i].log_ms - all.log_ms_sum / all.servers);
            sum.samples += samples;
        }
    }
    if (sum.samples > 0.0) {
        sum.log_ratio /= sum.samples;
    }
    return {sum.log_ratio, std::min(sum.samples, max_pace_samples)};
}

auto server_speed_tracker::slowness_by_pace(
    const server_instance& server, const pace& of_peers) const -> double
{
    const auto own = this->own_pace(server);
    const auto samples = own.samples + of_peers.samples;
    if (samples == 0.0) {
        return this->slowness(server);
    }
    const auto sum = own.samples * own.log_ratio + of_peers.samples * of_peers.log_ratio;
    return std::clamp(std::exp(sum / (samples + prior_samples)), min_slowness, max_slowness);
}

auto server_speed_tracker::add_reports(std::vector<speed_report>& to) const -> void
{
    for (const auto& [server, known] : this->servers) {
        const auto own = this->own_pace(server);
        if (own.samples > 0.0) {
            to.push_back(
                {hash_of(server),
                 std::exp(own.log_ratio),
                 static_cast<std::uint32_t>(own.samples)});
        }
    }
}

auto server_speed_tracker::expected(double work) const -> std::chrono::milliseconds
{
    const auto time_per_work = this->work_sum > 0.0 ? this->time_sum / this->work_sum : 0.0;
    return std::chrono::milliseconds{
        static_cast<std::int64_t>(time_per_work * (work + fixed_work))};
}

auto server_speed_tracker::note_cost(double took_ms, double cost) -> void
{
    constexpr double kept = 1.0 - sum_memory;
    this->cost_time_sum = this->cost_time_sum * kept + took_ms;
    this->cost_sum = this->cost_sum * kept + cost + fixed_work;
}

auto server_speed_tracker::expected_ms(double cost) const -> double
{
    const auto ms_per_cost = this->cost_sum > 0.0 ? this->cost_time_sum / this->cost_sum : 0.0;
    return ms_per_cost * (cost + fixed_work);
}

auto server_speed_tracker::expected_queueing(double queued) const -> std::chrono::milliseconds
{
    const auto time_per_work = this->work_sum > 0.0 ? this->time_sum / this->work_sum : 0.0;
    return std::chrono::milliseconds{static_cast<std::int64_t>(time_per_work * queued)};
}

auto server_speed_tracker::slowness(const server_instance& server) const -> double
{
    const auto found = this->servers.find(server);
    const bool is_known =
        found != this->servers.end() && found->second.samples >= min_samples && this->median > 0.0;
    if (!is_known) {
        return 1.0;
    }
    return std::clamp(found->second.time_per_work / this->median, min_slowness, max_slowness);
}

auto server_speed_tracker::update_median() -> void
{
    std::vector<double> times;
    for (const auto& [id, one] : this->servers) {
        if (one.samples >= min_samples) {
            times.push_back(one.time_per_work);
        }
    }
    if (times.empty()) {
        return;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    this->median = *middle;
}

auto server_speed_tracker::forget_if(
    const std::function<auto(const server_instance& server)->bool>& is_gone) -> void
{
    std::erase_if(this->servers, [this, &is_gone](const auto& item) {
        if (!is_gone(item.first)) {
            return false;
        }
        const auto& means = item.second.pauses;
        for (std::size_t i = 0; i < means.size(); ++i) {
            this->models[i].log_ms_sum -= means[i].log_ms;
            this->models[i].servers -= means[i].samples > 0 ? 1 : 0;
        }
        return true;
    });
}

} // namespace reedramp::routing
