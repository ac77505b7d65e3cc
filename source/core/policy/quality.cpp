#include "policy/quality.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::policy {

namespace {

constexpr double default_prior = 0.5;
constexpr double small_sample_term = 1.5;

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
    const double deviation = value - this->centre;
    this->centre += step * deviation;
    this->spread = (1.0 - step) * (this->spread + step * deviation * deviation);
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
        auto& ratings = entries[key];
        ratings.long_term.add(value, this->options.memory);
        ratings.short_term.add(value, this->options.short_memory);
        if (!this->has_drifted(ratings)) {
            return false;
        }
        ratings.long_term = ratings.short_term;
        ratings.prior.reset();
        return true;
    });
}

auto quality_tracker::has_drifted(const record& ratings) const -> bool
{
    // Until twice the short memory, both means consist mostly of the same ratings.
    if (ratings.long_term.weight() < 2.0 * this->options.short_memory) {
        return false;
    }
    const double variance = std::max(ratings.long_term.variance(), this->options.min_variance);
    // An exponential mean with memory m has the variance of the plain mean of 2m - 1 ratings.
    const double short_term_error = std::sqrt(variance / (2.0 * this->options.short_memory - 1.0));
    const double difference = std::abs(ratings.short_term.mean() - ratings.long_term.mean());
    return difference > this->options.drift_standard_errors * short_term_error;
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
        const auto& ratings = found->second;
        const double prior = ratings.prior.value_or(default_prior);
        const double prior_weight = this->options.prior_weight;
        const double weight = ratings.long_term.weight();
        const double mean =
            (ratings.long_term.mean() * weight + prior * prior_weight) / (weight + prior_weight);
        const double variance = std::max(ratings.long_term.variance(), this->options.min_variance);
        const double known = weight + prior_weight;
        // The second term widens the bounds while there are few ratings: their variance is
        // unreliable, and an option whose first scores happen to be low would never be tried again.
        const double deviation = this->options.bound_standard_errors * std::sqrt(variance / known) +
                                 small_sample_term / known;
        return quality_estimate{
            mean, std::max(0.0, mean - deviation), std::min(1.0, mean + deviation), weight};
    });
}

} // namespace reedramp::policy
