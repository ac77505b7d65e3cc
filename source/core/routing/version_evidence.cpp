#include "routing/version_evidence.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <utility>

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

/// Under this name, which no route has, answers count on routes of which the old version has too
/// few.
const route_name rare_routes{};

/// Routes of all peers that are kept (some 0.6 KB each). With hundreds of peers few of each.
constexpr std::size_t max_peer_routes = 4096;
constexpr std::size_t min_routes_of_a_peer = 12;

/// One in so many of the reported routes is chosen for its evidence, the others in turn.
constexpr std::size_t strongest_part = 3;

/// Whether a bet on "worse" was won: without one a route's evidence is below any limit.
auto has_won(const policy::wealth& bets) -> bool
{
    return std::ranges::any_of(bets, [](double log) { return log > 0.0; });
}

auto index_of(timed_part part) -> std::size_t
{
    return static_cast<std::size_t>(part);
}

} // namespace

auto version_evidence::for_each_report(const route_name& route, const auto& visit) const -> void
{
    for (const auto& [peer, known] : this->peers) {
        if (const auto found = known.routes.find(route); found != known.routes.end()) {
            visit(found->second.report);
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
                            0.0,
                            true})
                    .first;
    }
    if (found->second.is_pooling_due && route != rare_routes) {
        this->pool(route);
    }
    return found->second;
}

auto version_evidence::add(
    const route_name& route, policy::signal what, version_side side, double value) -> void
{
    this->cached_sums.reset();
    auto& one = this->at(route);
    if (side == version_side::new_one) {
        this->judged_at(one, what).bets.add_candidate(what, value);
        return;
    }
    one.bets.add_baseline(what, value);
    this->judge_pending(what);
}

auto version_evidence::judged_at(route_evidence& route, policy::signal what) -> route_evidence&
{
    if (route.bets.has_baseline(what)) {
        return route;
    }
    const auto known = this->baseline_of_rare_routes(what);
    if (known.count < this->settings.guard.min_baseline_count) {
        return route;
    }
    auto& together = this->at(rare_routes);
    together.bets.set_pooled_baseline(what, known.value, known.count);
    return together;
}

auto version_evidence::baseline_of_rare_routes(policy::signal what) const -> policy::sample_mean
{
    policy::sample_mean sum;
    for (const auto& [route, one] : this->routes) {
        if (route != rare_routes && !one.bets.has_baseline(what)) {
            sum = policy::combined_mean(sum, one.bets.known_baseline(what));
        }
    }
    return sum;
}

auto version_evidence::judge_pending(policy::signal what) -> void
{
    const auto waits = [what](const auto& item) {
        return item.second.bets.has_pending(what);
    };
    if (std::ranges::none_of(this->routes, waits)) {
        return;
    }
    const auto known = this->baseline_of_rare_routes(what);
    if (known.count < this->settings.guard.min_baseline_count) {
        return;
    }
    auto& together = this->at(rare_routes);
    together.bets.set_pooled_baseline(what, known.value, known.count);
    for (auto& [route, one] : this->routes) {
        if (&one == &together) {
            continue;
        }
        for (const double value : one.bets.take_pending(what)) {
            together.bets.add_candidate(what, value);
        }
    }
}

auto version_evidence::add_outcome(
    const route_name& route, version_side side, bool is_good, occupancy server) -> void
{
    constexpr auto what = policy::signal::error;
    const double failed = is_good ? 0.0 : 1.0;
    this->add(route, what, side, failed);
    if (server != occupancy::high) {
        return;
    }
    auto& one = this->at(route);
    this->pool_high_occupancy(route);
    if (side == version_side::old) {
        one.high_occupancy_bets.add_baseline(what, failed);
        return;
    }
    auto& judged = this->judged_at(one, what);
    if (&judged != &one) {
        const auto known = judged.bets.known_baseline(what);
        judged.high_occupancy_bets.set_pooled_baseline(what, known.value, known.count);
    }
    judged.high_occupancy_bets.add_candidate(what, failed);
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
    this->add(route, policy::signal::slow, side, is_stalled || is_late ? 1.0 : 0.0);
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
            this->add(route, policy::signal::latency, side, slow);
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
    const common::host_id& peer,
    std::map<route_name, evidence_report> reports,
    std::optional<evidence_total> total) -> void
{
    this->cached_sums.reset();
    auto& known = this->peers[peer];
    known.reports += 1;
    if (!total) {
        known.routes.clear();
        total.emplace();
        for (const auto& [route, report] : reports) {
            policy::add_wealth(total->bets, report.bets);
            policy::add_wealth(total->high_occupancy_bets, report.high_occupancy_bets);
        }
    }
    known.total = std::move(*total);
    for (auto& [route, report] : reports) {
        const bool wins = has_won(report.bets) || has_won(report.high_occupancy_bets);
        known.routes.insert_or_assign(route, peer_route{std::move(report), known.reports, wins});
        if (const auto own = this->routes.find(route); own != this->routes.end()) {
            own->second.is_pooling_due = true;
        }
    }
    this->forget_surplus(known);
    for (const auto& [route, report] : reports) {
        this->judge_waiting(route);
    }
}

auto version_evidence::judge_waiting(const route_name& route) -> void
{
    const auto own = this->routes.find(route);
    if (own == this->routes.end() || route == rare_routes) {
        return;
    }
    for (std::size_t i = 0; i < policy::signal_count; ++i) {
        if (own->second.bets.has_pending(static_cast<policy::signal>(i))) {
            this->pool(route);
            return;
        }
    }
}

auto version_evidence::forget_surplus(peer_evidence& of) const -> void
{
    const auto most = std::max(min_routes_of_a_peer, max_peer_routes / this->peers.size());
    while (of.routes.size() > most) {
        of.routes.erase(std::ranges::min_element(
            of.routes, {}, [](const auto& item) { return item.second.reported; }));
    }
}

auto version_evidence::pool(const route_name& route) -> void
{
    auto& own = this->routes.at(route);
    own.is_pooling_due = false;
    auto& bets = own.bets;
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

auto version_evidence::routes_in_turn(std::size_t max_count, const route_name& turn) const
    -> routes_by_evidence
{
    routes_by_evidence chosen;
    auto next = this->routes.upper_bound(turn);
    while (chosen.size() < std::min(max_count, this->routes.size())) {
        if (next == this->routes.end()) {
            next = this->routes.begin();
        }
        chosen.push_back(&*next);
        ++next;
    }
    return chosen;
}

auto version_evidence::strongest_routes(std::size_t max_count) const -> routes_by_evidence
{
    routes_by_evidence all;
    for (const auto& item : this->routes) {
        all.push_back(&item);
    }
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(std::min(max_count, all.size()));
    std::ranges::partial_sort(all, middle, std::greater{}, [](const auto* item) {
        return std::ranges::max(item->second.bets.log_wealth());
    });
    all.erase(middle, all.end());
    return all;
}

auto version_evidence::next_turn(std::size_t max_count, const route_name& turn) const -> route_name
{
    const auto chosen = this->routes_in_turn(max_count - max_count / strongest_part, turn);
    return chosen.empty() ? turn : chosen.back()->first;
}

auto version_evidence::make_report(std::size_t max_count, const route_name& turn) const
    -> std::map<route_name, evidence_report>
{
    auto chosen = this->routes_in_turn(max_count, turn);
    if (chosen.size() < this->routes.size()) {
        chosen = this->routes_in_turn(max_count - max_count / strongest_part, turn);
        const auto strongest = this->strongest_routes(max_count / strongest_part);
        chosen.insert(chosen.end(), strongest.begin(), strongest.end());
    }
    std::map<route_name, evidence_report> all;
    for (const auto* item : chosen) {
        const auto& [route, one] = *item;
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

auto version_evidence::total() const -> evidence_total
{
    evidence_total sum{
        policy::wealth(policy::wealth_size, 0.0), policy::wealth(policy::wealth_size, 0.0)};
    for (const auto& [route, one] : this->routes) {
        policy::add_wealth(sum.bets, one.bets.log_wealth());
        policy::add_wealth(sum.high_occupancy_bets, one.high_occupancy_bets.log_wealth());
    }
    return sum;
}

auto version_evidence::suspected_routes() const -> std::set<route_name>
{
    std::set<route_name> suspected;
    for (const auto& [route, one] : this->routes) {
        if (has_won(one.bets.log_wealth()) || has_won(one.high_occupancy_bets.log_wealth())) {
            suspected.insert(route);
        }
    }
    for (const auto& [peer, known] : this->peers) {
        for (const auto& [route, row] : known.routes) {
            if (row.has_won) {
                suspected.insert(route);
            }
        }
    }
    return suspected;
}

auto version_evidence::sum_of(const route_name& route) const -> evidence_total
{
    evidence_total sum{
        policy::wealth(policy::wealth_size, 0.0), policy::wealth(policy::wealth_size, 0.0)};
    if (const auto own = this->routes.find(route); own != this->routes.end()) {
        policy::add_wealth(sum.bets, own->second.bets.log_wealth());
        policy::add_wealth(sum.high_occupancy_bets, own->second.high_occupancy_bets.log_wealth());
    }
    this->for_each_report(route, [&sum](const evidence_report& report) {
        policy::add_wealth(sum.bets, report.bets);
        policy::add_wealth(sum.high_occupancy_bets, report.high_occupancy_bets);
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
    for (const auto& route : this->suspected_routes()) {
        const auto sum = this->sum_of(route);
        result.strongest_of_all = std::max(result.strongest_of_all, judge(sum.bets, route));
        judge_failures(sum.high_occupancy_bets, route);
    }
    auto [total, high_total] = this->total();
    for (const auto& [peer, known] : this->peers) {
        policy::add_wealth(total, known.total.bets);
        policy::add_wealth(high_total, known.total.high_occupancy_bets);
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
