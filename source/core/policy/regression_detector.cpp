#include "policy/regression_detector.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace reedramp::policy {

namespace {

constexpr std::size_t bet_count = bet_fractions.size();
constexpr std::size_t not_worse_block = signal_count * bet_count;

/// Baseline means are clamped away from 0 and 1, where the largest stake would be unbounded.
constexpr double min_mean = 0.01;

/// Variance assumed for an old version of which this process has few observations.
constexpr double unknown_variance = 0.06;

/// Maximum number of observations of the new version that wait for a baseline.
constexpr std::size_t max_pending = 512;

/// Maximum log wealth against a version at which its share may still grow.
constexpr double max_log_against_for_growth = 1.1;

auto index_of(signal what) -> std::size_t
{
    return static_cast<std::size_t>(what);
}

/// log of the mean of exp(values): the log wealth when the initial wealth is split evenly.
auto log_mean_exp(std::span<const double> values) -> double
{
    const double top = *std::ranges::max_element(values);
    double sum = 0.0;
    for (const double value : values) {
        sum += std::exp(value - top);
    }
    return top + std::log(sum / static_cast<double>(values.size()));
}

/// The log wealth of each signal's bets against the version when the initial wealth is split over
/// the signals by `weights`.
auto log_wealth_by_signal(
    std::span<const double> all, const std::array<double, signal_count>& weights)
    -> std::array<double, signal_count>
{
    std::array<double, signal_count> terms{};
    for (std::size_t i = 0; i < signal_count; ++i) {
        const double weight = weights[i] * static_cast<double>(signal_count);
        terms[i] = log_mean_exp(bets_on(all, static_cast<signal>(i))) + std::log(weight);
    }
    return terms;
}

auto mixed_log_wealth(std::span<const double> all, const std::array<double, signal_count>& weights)
    -> double
{
    return log_mean_exp(log_wealth_by_signal(all, weights));
}

enum class direction : std::uint8_t { below, above };

/// Adds the log returns of one block's bets that the mean of `value` is below or above `mean`.
///
/// The largest stake loses everything if `value` is at the far end of [0, 1]; a fraction below 1 of
/// it keeps the wealth positive for any value.
auto add_log_returns(wealth& logs, std::size_t first, direction side, double value, double mean)
    -> void
{
    const double against = std::clamp(mean, min_mean, 1.0 - min_mean);
    const bool below = side == direction::below;
    const double gain = below ? against - value : value - against;
    const double largest_loss = below ? 1.0 - against : against;
    for (std::size_t i = 0; i < bet_count; ++i) {
        logs[first + i] += std::log1p(bet_fractions[i] * gain / largest_loss);
    }
}

auto is_binary(signal what) -> bool
{
    return what == signal::error || what == signal::slow;
}

auto clamp_unit(double value) -> double
{
    // A score outside [0, 1] from the external rating service would invalidate the supermartingale.
    return std::isnan(value) ? 0.0 : std::clamp(value, 0.0, 1.0);
}

} // namespace

auto to_string(signal what) -> std::string_view
{
    switch (what) {
    case signal::rating:
        return "rating";
    case signal::error:
        return "error";
    case signal::slow:
        return "late_first_event";
    case signal::latency:
        return "time";
    }
    return "unknown";
}

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

auto regression_evidence::baseline_estimate(const baseline& known) -> sample_mean
{
    if (known.pooled.count > known.values.weight()) {
        return known.pooled;
    }
    return {known.values.mean(), known.values.weight()};
}

auto regression_evidence::baseline_mean(signal what) const -> sample_mean
{
    const auto& values = this->baselines[index_of(what)].values;
    return {values.mean(), values.weight()};
}

auto regression_evidence::known_baseline(signal what) const -> sample_mean
{
    return baseline_estimate(this->baselines[index_of(what)]);
}

auto regression_evidence::has_baseline(signal what) const -> bool
{
    return this->known_baseline(what).count >= this->options.min_baseline_count;
}

auto regression_evidence::has_pending(signal what) const -> bool
{
    return !this->baselines[index_of(what)].pending.empty();
}

auto regression_evidence::take_pending(signal what) -> std::vector<double>
{
    return std::exchange(this->baselines[index_of(what)].pending, {});
}

auto regression_evidence::baseline_error(signal what) const -> double
{
    const auto& known = this->baselines[index_of(what)];
    const auto [mean, count] = baseline_estimate(known);
    const bool has_own_variance = known.values.weight() >= this->options.min_baseline_count;
    // The variance of a signal that is either 0 or 1 follows from its mean.
    const double other_spread = is_binary(what) ? mean * (1.0 - mean) : unknown_variance;
    const double spread = has_own_variance ? known.values.variance() : other_spread;
    // The second term accounts for rates without any observed case, which need not be 0.
    return this->options.baseline_standard_errors * std::sqrt(spread / count) + 1.0 / count;
}

auto regression_evidence::add_baseline(signal what, double value) -> void
{
    auto& known = this->baselines[index_of(what)];
    known.values.add(clamp_unit(value), this->options.baseline_memory);
    this->bet_on_pending(what);
}

auto regression_evidence::set_pooled_baseline(signal what, double mean, double count) -> void
{
    this->baselines[index_of(what)].pooled = {clamp_unit(mean), count};
    this->bet_on_pending(what);
}

auto regression_evidence::bet_on_pending(signal what) -> void
{
    auto& known = this->baselines[index_of(what)];
    if (known.pending.empty() || !this->has_baseline(what)) {
        return;
    }
    for (const double each : this->take_pending(what)) {
        this->bet(what, each);
    }
}

auto regression_evidence::add_candidate(signal what, double value) -> void
{
    auto& known = this->baselines[index_of(what)];
    const double seen = clamp_unit(value);
    if (this->has_baseline(what)) {
        this->bet(what, seen);
        return;
    }
    // Observations beyond the limit are dropped regardless of their value, so the bets stay
    // unbiased.
    if (known.pending.size() < max_pending) {
        known.pending.push_back(seen);
    }
}

auto regression_evidence::bet(signal what, double value) -> void
{
    const auto first = index_of(what) * bet_count;
    const auto& known = this->baselines[index_of(what)];
    const double mean = baseline_estimate(known).value;
    const double lower = mean - this->baseline_error(what);
    const double upper = mean + this->baseline_error(what);
    using enum direction;
    switch (what) {
    case signal::rating:
        add_log_returns(this->logs, first, below, value, lower - this->options.rating_slack);
        add_log_returns(
            this->logs, not_worse_block, above, value, upper - this->options.growth_slack);
        return;
    case signal::error:
        add_log_returns(this->logs, first, above, value, upper + this->options.error_slack);
        return;
    case signal::slow:
        add_log_returns(this->logs, first, above, value, upper + this->options.slow_slack);
        return;
    case signal::latency:
        add_log_returns(this->logs, first, above, value, upper + this->options.latency_slack);
        return;
    }
}

drift_evidence::drift_evidence(regression_detector_options chosen, double mean)
    : options(chosen), accepted_mean(mean), logs(wealth_size, 0.0)
{
}

auto drift_evidence::add_rating(double value) -> void
{
    const auto first = index_of(signal::rating) * bet_count;
    const double least = this->accepted_mean - this->options.rating_slack;
    add_log_returns(this->logs, first, direction::below, clamp_unit(value), least);
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
    // A report of another size comes from a process of another release. It is ignored, because its
    // values would be added to the wrong bets.
    if (part.size() != wealth_size) {
        return;
    }
    std::ranges::transform(total, part, total.begin(), std::plus<>{});
}

auto evaluate(
    const wealth& total, const regression_detector_options& options, double error_probability)
    -> evaluation
{
    if (total.size() != wealth_size) {
        return {};
    }
    const std::span<const double> all(total);
    evaluation found;
    found.log_against = mixed_log_wealth(all, options.weights);
    found.log_for = log_mean_exp(all.subspan(not_worse_block));
    if (found.log_against >= -std::log(options.false_alarm)) {
        found.decision = verdict::worse;
        return found;
    }
    const bool is_significant = found.log_for >= -std::log(error_probability);
    if (is_significant && found.log_against < max_log_against_for_growth) {
        found.decision = verdict::not_worse;
    }
    return found;
}

auto log_against(const wealth& total, signal what) -> double
{
    if (total.size() != wealth_size) {
        return 0.0;
    }
    return log_mean_exp(bets_on(std::span<const double>(total), what));
}

auto strongest_signal(const wealth& total, const regression_detector_options& options) -> signal
{
    if (total.size() != wealth_size) {
        return signal::error;
    }
    const auto terms = log_wealth_by_signal(total, options.weights);
    return static_cast<signal>(std::ranges::max_element(terms) - terms.begin());
}

drift_detector::drift_detector(double run_length)
    : threshold(std::log(run_length)), minima(wealth_size, 0.0)
{
}

auto drift_detector::observe(const wealth& total) -> bool
{
    if (total.size() != wealth_size) {
        return false;
    }
    const auto first = index_of(signal::rating) * bet_count;
    std::array<double, bet_count> increases{};
    for (std::size_t i = 0; i < bet_count; ++i) {
        auto& minimum = this->minima[first + i];
        minimum = std::min(minimum, total[first + i]);
        increases[i] = total[first + i] - minimum;
    }
    return log_mean_exp(increases) >= this->threshold;
}

} // namespace reedramp::policy
