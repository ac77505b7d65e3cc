#include "policy/regression_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace reedramp::policy {

namespace {

constexpr std::size_t bets = bet_fractions.size();
constexpr std::size_t growth_block = signal_count * bets;

/// Means that bets are made against stay away from 0 and 1, where the largest stake has no bound.
constexpr double least_mean = 0.01;

/// Variance assumed of an old version of which this process has seen little.
constexpr double unknown_variance = 0.06;

/// Bound of new observations that wait for a reference.
constexpr std::size_t waiting_limit = 512;

/// Largest wealth against a version, as a logarithm, at which its share may still grow.
constexpr double growth_stop = 1.1;

auto index_of(signal what) -> std::size_t
{
    return static_cast<std::size_t>(what);
}

/// log of the mean of exp(values): the wealth of someone who split the first stake evenly.
auto log_mean_exp(std::span<const double> values) -> double
{
    const double top = *std::ranges::max_element(values);
    double sum = 0.0;
    for (const double value : values) {
        sum += std::exp(value - top);
    }
    return top + std::log(sum / static_cast<double>(values.size()));
}

/// The wealth of someone who split the first stake over the signals by their weights.
auto mixed_against(std::span<const double> all, const std::array<double, signal_count>& weights)
    -> double
{
    std::array<double, signal_count> terms{};
    for (std::size_t i = 0; i < signal_count; ++i) {
        const double weight = weights[i] * static_cast<double>(signal_count);
        terms[i] = log_mean_exp(all.subspan(i * bets, bets)) + std::log(weight);
    }
    return log_mean_exp(terms);
}

enum class direction : std::uint8_t { below, above };

/// Adds the log returns of one block's bets that the mean of `value` is below or above `mean`.
///
/// The largest stake loses all when `value` is at the far end of [0, 1]; a share below 1 of it
/// keeps the wealth positive whatever comes.
auto add_returns(wealth& logs, std::size_t first, direction side, double value, double mean) -> void
{
    const double against = std::clamp(mean, least_mean, 1.0 - least_mean);
    const bool below = side == direction::below;
    const double gain = below ? against - value : value - against;
    const double largest_loss = below ? 1.0 - against : against;
    for (std::size_t i = 0; i < bets; ++i) {
        logs[first + i] += std::log1p(bet_fractions[i] * gain / largest_loss);
    }
}

auto clamp_unit(double value) -> double
{
    // A score outside of [0, 1] would break the supermartingale; the rating service is not ours.
    return std::isnan(value) ? 0.0 : std::clamp(value, 0.0, 1.0);
}

} // namespace

auto combined_mean(const sample_mean& one, const sample_mean& other) -> sample_mean
{
    const double count = one.count + other.count;
    if (count <= 0.0) {
        return {};
    }
    return {(one.value * one.count + other.value * other.count) / count, count};
}

regression_evidence::regression_evidence(regression_detector_options chosen)
    : options(chosen), logs(wealth_size, 0.0)
{
}

auto regression_evidence::best_mean(const reference& known) -> sample_mean
{
    if (known.pooled.count > known.values.weight()) {
        return known.pooled;
    }
    return {known.values.mean(), known.values.weight()};
}

auto regression_evidence::baseline_mean(signal what) const -> sample_mean
{
    const auto& values = this->references[index_of(what)].values;
    return {values.mean(), values.weight()};
}

auto regression_evidence::ready(const reference& known) const -> bool
{
    return best_mean(known).count >= this->options.min_baseline_count;
}

auto regression_evidence::error_of(const reference& known) const -> double
{
    const double count = best_mean(known).count;
    const bool seen_enough = known.values.weight() >= this->options.min_baseline_count;
    const double spread = seen_enough ? known.values.variance() : unknown_variance;
    // The second term: a rate of which no case was seen is not known to be 0.
    return this->options.baseline_standard_errors * std::sqrt(spread / count) + 1.0 / count;
}

auto regression_evidence::add_baseline(signal what, double value) -> void
{
    auto& known = this->references[index_of(what)];
    known.values.add(clamp_unit(value), this->options.baseline_memory);
    this->bet_on_waiting(what);
}

auto regression_evidence::set_pooled_baseline(signal what, double mean, double count) -> void
{
    this->references[index_of(what)].pooled = {clamp_unit(mean), count};
    this->bet_on_waiting(what);
}

auto regression_evidence::bet_on_waiting(signal what) -> void
{
    auto& known = this->references[index_of(what)];
    if (known.waiting.empty() || !this->ready(known)) {
        return;
    }
    const auto waiting = std::exchange(known.waiting, {});
    for (const double each : waiting) {
        this->bet(what, each);
    }
}

auto regression_evidence::add_candidate(signal what, double value) -> void
{
    auto& known = this->references[index_of(what)];
    const double seen = clamp_unit(value);
    if (this->ready(known)) {
        this->bet(what, seen);
        return;
    }
    // At the bound later ones are left out, whatever their value, which keeps the bets fair.
    if (known.waiting.size() < waiting_limit) {
        known.waiting.push_back(seen);
    }
}

auto regression_evidence::bet(signal what, double value) -> void
{
    const auto first = index_of(what) * bets;
    const auto& known = this->references[index_of(what)];
    const double mean = best_mean(known).value;
    const double low = mean - this->error_of(known);
    const double high = mean + this->error_of(known);
    using enum direction;
    switch (what) {
    case signal::rating:
        add_returns(this->logs, first, below, value, low - this->options.rating_slack);
        add_returns(this->logs, growth_block, above, value, high - this->options.growth_slack);
        return;
    case signal::error:
        add_returns(this->logs, first, above, value, high + this->options.error_slack);
        return;
    case signal::slow:
        add_returns(this->logs, first, above, value, high + this->options.slow_slack);
        return;
    case signal::latency:
        add_returns(this->logs, first, above, value, high + this->options.latency_slack);
        return;
    }
}

drift_evidence::drift_evidence(regression_detector_options chosen, double mean)
    : options(chosen), accepted_mean(mean), logs(wealth_size, 0.0)
{
}

auto drift_evidence::add_rating(double value) -> void
{
    const auto first = index_of(signal::rating) * bets;
    const double least = this->accepted_mean - this->options.rating_slack;
    add_returns(this->logs, first, direction::below, clamp_unit(value), least);
}

auto regression_evidence::set_slack(signal what, double slack) -> void
{
    switch (what) {
    case signal::rating:
        this->options.rating_slack = slack;
        return;
    case signal::error:
        this->options.error_slack = slack;
        return;
    case signal::slow:
        this->options.slow_slack = slack;
        return;
    case signal::latency:
        this->options.latency_slack = slack;
        return;
    }
}

auto add_wealth(wealth& total, std::span<const double> part) -> void
{
    total.resize(wealth_size, 0.0);
    // A report of another size comes from a process of another release; it is left out, since its
    // numbers would be added to the wrong bets.
    if (part.size() != wealth_size) {
        return;
    }
    std::ranges::transform(total, part, total.begin(), std::plus<>{});
}

auto evaluate(const wealth& total, const regression_detector_options& options, double doubt)
    -> evaluation
{
    if (total.size() != wealth_size) {
        return {};
    }
    const std::span<const double> all(total);
    evaluation found;
    found.log_against = mixed_against(all, options.weights);
    found.log_for = log_mean_exp(all.subspan(growth_block));
    if (found.log_against >= -std::log(options.false_alarm)) {
        found.decision = verdict::worse;
        return found;
    }
    const bool sure = found.log_for >= -std::log(doubt);
    if (sure && found.log_against < growth_stop) {
        found.decision = verdict::not_worse;
    }
    return found;
}

drift_detector::drift_detector(double run_length)
    : threshold(std::log(run_length)), lowest(wealth_size, 0.0)
{
}

auto drift_detector::observe(const wealth& total) -> bool
{
    if (total.size() != wealth_size) {
        return false;
    }
    const auto first = index_of(signal::rating) * bets;
    std::array<double, bets> rises{};
    for (std::size_t i = 0; i < bets; ++i) {
        auto& low = this->lowest[first + i];
        low = std::min(low, total[first + i]);
        rises[i] = total[first + i] - low;
    }
    return log_mean_exp(rises) >= this->threshold;
}

} // namespace reedramp::policy
