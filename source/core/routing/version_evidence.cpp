#include "routing/version_evidence.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace reedramp::routing {

namespace {

/// Number of old answers that a baseline time averages over: about ten seconds of a route at one
/// entry. Baselines from before a burst say little about the answers during it.
constexpr double baseline_memory = 40.0;
/// Old answers needed before a baseline time is used for comparison.
constexpr double min_baseline = 5.0;
/// Odds at which the regression detector would call a version good; unused here, since growth
/// follows the schedule.
constexpr double doubt = 0.05;

auto index_of(timed_part part) -> std::size_t
{
    return static_cast<std::size_t>(part);
}

} // namespace

auto version_evidence::for_each_report(const route_name& route, const auto& visit) const -> void
{
    for (const auto& [peer, reports] : this->peers) {
        if (const auto found = reports.find(route); found != reports.end()) {
            visit(found->second);
        }
    }
}

auto version_evidence::pooled(const route_name& route, policy::sample_mean own, const auto& mean_of)
    const -> policy::sample_mean
{
    this->for_each_report(route, [&own, &mean_of](const evidence_report& report) {
        own = policy::combined_mean(own, mean_of(report));
    });
    return own;
}

auto version_evidence::at(const route_name& route) -> route_evidence&
{
    auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        found = this->routes
                    .emplace(
                        route,
                        route_evidence{
                            policy::regression_evidence{this->settings.guard},
                            policy::regression_evidence{this->settings.guard},
                            {},
                            0.0})
                    .first;
        this->pool(route);
    }
    return found->second;
}

auto version_evidence::add(route_evidence& to, policy::signal what, version_side side, double value)
    -> void
{
    this->cached_sums.reset();
    if (side == version_side::new_one) {
        to.bets.add_candidate(what, value);
        return;
    }
    to.bets.add_baseline(what, value);
}

auto version_evidence::add_outcome(
    const route_name& route, version_side side, bool is_good, occupancy server) -> void
{
    auto& one = this->at(route);
    const double failed = is_good ? 0.0 : 1.0;
    this->add(one, policy::signal::error, side, failed);
    if (server != occupancy::high) {
        return;
    }
    this->pool_high_occupancy(route);
    if (side == version_side::new_one) {
        one.high_occupancy_bets.add_candidate(policy::signal::error, failed);
        return;
    }
    one.high_occupancy_bets.add_baseline(policy::signal::error, failed);
}

auto version_evidence::add_first_event(
    const route_name& route,
    version_side side,
    std::chrono::duration<double, std::milli> took,
    bool is_stalled) -> void
{
    auto& one = this->at(route);
    auto& mean = one.old_first_event_ms;
    const auto ms = took.count();
    const bool is_late = mean > 0.0 && ms > mean * this->settings.slow_factor;
    this->add(one, policy::signal::slow, side, is_stalled || is_late ? 1.0 : 0.0);
    if (side == version_side::new_one || is_stalled) {
        return;
    }
    constexpr double memory = 0.1;
    mean = mean == 0.0 ? ms : mean + memory * (ms - mean);
}

auto version_evidence::add_time(
    const route_name& route, version_side side, timed_part part, double log_ms, time_bound bound)
    -> void
{
    auto& one = this->at(route);
    if (part == timed_part::plain_answer) {
        one.bets.set_slack(policy::signal::latency, this->settings.plain_latency_slack);
    }
    const auto baseline = this->baseline_time(route, part);
    if (baseline.count >= min_baseline) {
        const auto slow = this->slowness(part, log_ms - baseline.value);
        // An answer abandoned early says nothing: its total time is unknown.
        if (bound == time_bound::seen || slow > 0.0) {
            this->add(one, policy::signal::latency, side, slow);
        }
    }
    if (side == version_side::old && bound == time_bound::seen) {
        one.baseline_times[index_of(part)].add(log_ms, baseline_memory);
    }
}

auto version_evidence::slowness(timed_part part, double log_ratio) const -> double
{
    const auto& scale =
        part == timed_part::plain_answer ? this->settings.plain : this->settings.streams;
    const double from = std::log(scale.not_slow_factor);
    const double to = std::log(scale.fully_slow_factor);
    return std::clamp((log_ratio - from) / (to - from), 0.0, 1.0);
}

auto version_evidence::baseline_time(const route_name& route, timed_part part) const
    -> policy::sample_mean
{
    policy::sample_mean sum;
    if (const auto own = this->routes.find(route); own != this->routes.end()) {
        const auto& times = own->second.baseline_times[index_of(part)];
        sum = {times.mean(), times.weight()};
    }
    return this->pooled(route, sum, [part](const evidence_report& report) {
        return report.baseline_times[index_of(part)];
    });
}

auto version_evidence::apply_report(
    const common::host_id& peer, std::map<route_name, evidence_report> reports) -> void
{
    this->cached_sums.reset();
    auto& known = this->peers[peer];
    known = std::move(reports);
    for (const auto& [route, report] : known) {
        this->at(route);
        this->pool(route);
    }
}

auto version_evidence::pool(const route_name& route) -> void
{
    auto& bets = this->routes.at(route).bets;
    for (std::size_t i = 0; i < policy::signal_count; ++i) {
        const auto what = static_cast<policy::signal>(i);
        const auto sum = this->pooled(route, bets.baseline_mean(what), [i](const auto& report) {
            return report.old_means[i];
        });
        bets.set_pooled_baseline(what, sum.value, sum.count);
    }
    this->pool_high_occupancy(route);
}

auto version_evidence::pool_high_occupancy(const route_name& route) -> void
{
    constexpr auto what = policy::signal::error;
    auto& own = this->routes.at(route);
    const auto sum =
        this->pooled(route, own.high_occupancy_bets.baseline_mean(what), [](const auto& report) {
            return report.high_occupancy_old_failures;
        });
    const auto of_all = this->pooled(route, own.bets.baseline_mean(what), [](const auto& report) {
        return report.old_means[static_cast<std::size_t>(what)];
    });
    const bool is_worse_there =
        sum.count >= this->settings.guard.min_baseline_count && sum.value > of_all.value;
    const auto& known = is_worse_there ? sum : of_all;
    own.high_occupancy_bets.set_pooled_baseline(what, known.value, known.count);
}

auto version_evidence::make_report() const -> std::map<route_name, evidence_report>
{
    std::map<route_name, evidence_report> all;
    for (const auto& [route, one] : this->routes) {
        evidence_report report;
        report.bets = one.bets.log_wealth();
        report.high_occupancy_bets = one.high_occupancy_bets.log_wealth();
        report.high_occupancy_old_failures =
            one.high_occupancy_bets.baseline_mean(policy::signal::error);
        for (std::size_t i = 0; i < policy::signal_count; ++i) {
            report.old_means[i] = one.bets.baseline_mean(static_cast<policy::signal>(i));
        }
        for (std::size_t i = 0; i < timed_part_count; ++i) {
            report.baseline_times[i] = {
                one.baseline_times[i].mean(), one.baseline_times[i].weight()};
        }
        all.emplace(route, std::move(report));
    }
    return all;
}

auto version_evidence::log_against() const -> sums
{
    if (!this->cached_sums) {
        this->cached_sums = this->sum_up();
    }
    return *this->cached_sums;
}

auto version_evidence::sum_of_bets(
    const route_name& route,
    const policy::regression_evidence& own,
    policy::wealth evidence_report::*bets) const -> policy::wealth
{
    policy::wealth sum = own.log_wealth();
    this->for_each_report(route, [&sum, bets](const evidence_report& report) {
        policy::add_wealth(sum, report.*bets);
    });
    return sum;
}

auto version_evidence::sum_up() const -> sums
{
    sums result;
    result.strongest_of_all = -std::numeric_limits<double>::infinity();
    result.strongest = -std::numeric_limits<double>::infinity();
    const auto compare = [&](double against,
                             policy::signal what,
                             std::optional<route_name> route,
                             occupancy server) {
        if (against >= result.strongest) {
            result.strongest = against;
            result.strongest_signal = what;
            result.strongest_route = std::move(route);
            result.strongest_at = server;
        }
        return against;
    };
    const auto judge = [&](const policy::wealth& sum, std::optional<route_name> route) {
        return compare(
            policy::evaluate(sum, this->settings.guard, doubt).log_against,
            policy::strongest_signal(sum, this->settings.guard),
            std::move(route),
            occupancy::usual);
    };
    const auto judge_failures = [&](const policy::wealth& sum, std::optional<route_name> route) {
        constexpr auto what = policy::signal::error;
        return compare(policy::log_against(sum, what), what, std::move(route), occupancy::high);
    };
    policy::wealth total(policy::wealth_size, 0.0);
    policy::wealth high_total(policy::wealth_size, 0.0);
    for (const auto& [route, one] : this->routes) {
        const auto sum = this->sum_of_bets(route, one.bets, &evidence_report::bets);
        const auto high = this->sum_of_bets(
            route, one.high_occupancy_bets, &evidence_report::high_occupancy_bets);
        policy::add_wealth(total, sum);
        policy::add_wealth(high_total, high);
        result.strongest_of_all = std::max(result.strongest_of_all, judge(sum, route));
        judge_failures(high, route);
    }
    result.overall = judge(total, std::nullopt);
    result.strongest_of_all = std::max(result.strongest_of_all, result.overall);
    result.high_occupancy = judge_failures(high_total, std::nullopt);
    return result;
}

auto version_evidence::is_worse() const -> bool
{
    return this->log_against().strongest >= -std::log(this->settings.guard.false_alarm);
}

} // namespace reedramp::routing
