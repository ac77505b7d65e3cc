#include "policy/quality.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::policy {

namespace {

constexpr double unknown_prior = 0.5;
constexpr double range_term = 1.5;

auto record_key(const option_key& option, const common::task_name& task) -> std::string
{
    return to_string(option) + '\n' + task.value();
}

} // namespace

auto to_string(const option_key& key) -> std::string
{
    if (!key.second) {
        return key.first.value();
    }
    return key.first.value() + ">" + key.second->value();
}

auto exponential_mean::add(double value, double memory) -> void
{
    const double keep = 1.0 - 1.0 / memory;
    this->total = this->total * keep + 1.0;
    const double step = 1.0 / this->total;
    const double off = value - this->centre;
    this->centre += step * off;
    this->spread = (1.0 - step) * (this->spread + step * off * off);
}

quality_tracker::quality_tracker(quality_options chosen) : options(chosen) {}

auto quality_tracker::set_prior(
    const option_key& option, const common::task_name& task, double mean) -> void
{
    const auto key = record_key(option, task);
    this->records.with_shard(key, [&](auto& entries) { entries[key].prior = mean; });
}

auto quality_tracker::add(const option_key& option, const common::task_name& task, double score)
    -> bool
{
    if (std::isnan(score)) {
        return false;
    }
    const double value = std::clamp(score, 0.0, 1.0);
    const auto key = record_key(option, task);
    return this->records.with_shard(key, [&](auto& entries) {
        auto& seen = entries[key];
        seen.slow.add(value, this->options.memory);
        seen.quick.add(value, this->options.quick_memory);
        if (!this->drifted(seen)) {
            return false;
        }
        seen.slow = seen.quick;
        seen.prior.reset();
        return true;
    });
}

auto quality_tracker::drifted(const record& seen) const -> bool
{
    // Before twice the quick memory the two means hold mostly the same ratings.
    if (seen.slow.weight() < 2.0 * this->options.quick_memory) {
        return false;
    }
    const double variance = std::max(seen.slow.variance(), this->options.least_variance);
    // An exponential mean of memory m has the variance of one over 2m - 1 plain ratings.
    const double quick_error = std::sqrt(variance / (2.0 * this->options.quick_memory - 1.0));
    const double apart = std::abs(seen.quick.mean() - seen.slow.mean());
    return apart > this->options.drift_errors * quick_error;
}

auto quality_tracker::estimate(const option_key& option, const common::task_name& task)
    -> quality_estimate
{
    const auto key = record_key(option, task);
    return this->records.with_shard(key, [&](auto& entries) {
        const auto found = entries.find(key);
        if (found == entries.end()) {
            return quality_estimate{};
        }
        const auto& seen = found->second;
        const double prior = seen.prior.value_or(unknown_prior);
        const double prior_weight = this->options.prior_weight;
        const double weight = seen.slow.weight();
        const double mean =
            (seen.slow.mean() * weight + prior * prior_weight) / (weight + prior_weight);
        const double variance = std::max(seen.slow.variance(), this->options.least_variance);
        const double known = weight + prior_weight;
        // The second term is for few ratings: their variance is itself a guess, and an option whose
        // first scores happen to be low would otherwise never be tried again.
        const double off =
            this->options.bound_errors * std::sqrt(variance / known) + range_term / known;
        return quality_estimate{mean, std::max(0.0, mean - off), std::min(1.0, mean + off), weight};
    });
}

} // namespace reedramp::policy
