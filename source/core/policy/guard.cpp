#include "policy/guard.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::policy {

namespace {

constexpr std::size_t bets = bet_fractions.size();
constexpr std::size_t growth_block = signal_count * bets;

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

/// Adds the log returns of all bets of one block for one difference in [-1, 1].
///
/// The stake is divided by 1 + slack, the largest possible loss: an undivided bet of 0.9 could lose
/// more than it has, and the logarithm of a negative wealth is no number.
auto add_returns(wealth& logs, std::size_t first, double difference, double slack) -> void
{
    for (std::size_t i = 0; i < bets; ++i) {
        const double stake = bet_fractions[i] / (1.0 + slack);
        logs[first + i] += std::log1p(stake * (difference - slack));
    }
}

auto clamp_unit(double value) -> double
{
    // A score outside of [0, 1] would break the supermartingale; the rating service is not ours.
    return std::isnan(value) ? 0.0 : std::clamp(value, 0.0, 1.0);
}

} // namespace

evidence::evidence(guard_options chosen) : options(chosen), logs(wealth_size, 0.0) {}

auto evidence::block::mean() const -> double
{
    return this->sum / static_cast<double>(this->count);
}

auto evidence::add_old(signal what, double value) -> void
{
    auto& pair = this->pairs[index_of(what)];
    const double seen = clamp_unit(value);
    if (pair.new_side.count == 0) {
        pair.old_side.sum += seen;
        ++pair.old_side.count;
        return;
    }
    this->bet(what, seen, pair.new_side.mean());
    pair.new_side = {};
}

auto evidence::add_new(signal what, double value) -> void
{
    auto& pair = this->pairs[index_of(what)];
    const double seen = clamp_unit(value);
    if (pair.old_side.count == 0) {
        pair.new_side.sum += seen;
        ++pair.new_side.count;
        return;
    }
    this->bet(what, pair.old_side.mean(), seen);
    pair.old_side = {};
}

auto evidence::bet(signal what, double old_mean, double new_mean) -> void
{
    const auto first = index_of(what) * bets;
    switch (what) {
    case signal::rating:
        this->stake(first, old_mean - new_mean, this->options.rating_slack);
        this->stake(growth_block, new_mean - old_mean, -this->options.growth_slack);
        return;
    case signal::error:
        this->stake(first, new_mean - old_mean, this->options.error_slack);
        return;
    case signal::slow:
        this->stake(first, new_mean - old_mean, this->options.slow_slack);
        return;
    }
}

auto evidence::stake(std::size_t first, double difference, double slack) -> void
{
    add_returns(this->logs, first, difference, slack);
}

drift_evidence::drift_evidence(guard_options chosen, double accepted_mean)
    : options(chosen), reference(accepted_mean), logs(wealth_size, 0.0)
{
}

auto drift_evidence::add_rating(double value) -> void
{
    const auto first = index_of(signal::rating) * bets;
    add_returns(this->logs, first, this->reference - clamp_unit(value), this->options.rating_slack);
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

auto judge(const wealth& total, const guard_options& options, double doubt) -> judgement
{
    if (total.size() != wealth_size) {
        return {};
    }
    const std::span<const double> all(total);
    judgement found;
    found.log_against = log_mean_exp(all.first(growth_block));
    found.log_for = log_mean_exp(all.subspan(growth_block));
    if (found.log_against >= -std::log(options.false_alarm)) {
        found.decision = verdict::worse;
    }
    else if (found.log_for >= -std::log(doubt)) {
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
