#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <numeric>
#include <random>

#include "control/evidence_recorder.hpp"
#include "control/rollout.hpp"
#include "metric.hpp"
#include "parts.hpp"
#include "policy/option_choice.hpp"
#include "users.hpp"

namespace reedramp::bench {

namespace {

using namespace std::chrono_literals;

constexpr double append_s = 1.0;
constexpr double longest_rollout_s = 14 * 24 * 3600.0;

/// True behaviour of a version, known only to the simulation.
struct behaviour {
    double score = 0.8;
    double error_rate = 0.005;
};

struct scenario {
    const char* name;
    behaviour old_version;
    behaviour new_version;
};

constexpr scenario worse_answers{"worse_answers", {0.80, 0.005}, {0.50, 0.005}};
constexpr scenario little_worse{"little_worse", {0.80, 0.005}, {0.68, 0.005}};
constexpr scenario failing{"failing", {0.80, 0.005}, {0.80, 0.10}};
constexpr scenario equal{"equal", {0.80, 0.005}, {0.80, 0.005}};

enum class rule : std::uint8_t {
    /// `control::rollout_controller`.
    sequential_test,
    /// Baseline: stops when more than 10 % of the last 50 runs failed, or when the mean of the last
    /// 50 ratings is more than 0.1 below the old version's; raises the share every half hour.
    fixed_threshold,
};

struct outcome {
    bool stopped = false;
    bool completed = false;
    /// Requests that ran on the new version.
    std::uint64_t exposed = 0;
    double seconds = 0.0;
};

struct pending_rating {
    double at = 0.0;
    std::size_t entry = 0;
    bool is_new = false;
    double score = 0.0;
};

/// The latest runs and ratings of the new version, used by `rule::fixed_threshold`.
struct recent_window {
    static constexpr std::size_t length = 50;
    std::deque<double> errors;
    std::deque<double> scores;

    static auto push(std::deque<double>& values, double value) -> void
    {
        values.push_back(value);
        if (values.size() > length) {
            values.pop_front();
        }
    }

    static auto mean(const std::deque<double>& values) -> double
    {
        return std::accumulate(values.begin(), values.end(), 0.0) /
               static_cast<double>(values.size());
    }

    [[nodiscard]] auto is_bad(double old_score) const -> bool
    {
        const bool fails = this->errors.size() == length && mean(this->errors) > 0.1;
        const bool rated_low =
            this->scores.size() == length && mean(this->scores) < old_score - 0.1;
        return fails || rated_low;
    }
};

/// Simulates one roll-out under one stopping rule on a virtual clock.
class rollout_run {
public:
    rollout_run(
        const user_profile& given_profile,
        const scenario& given_scenario,
        rule given_rule,
        std::uint64_t seed)
        : profile(given_profile), scene(given_scenario), chosen(given_rule), random(seed),
          controller(control::rollout_options{})
    {
        for (int i = 0; i < given_profile.entries; ++i) {
            this->recorders.emplace_back(policy::regression_detector_options{});
        }
        this->item.id = "r";
        this->item.from = common::version_id("old");
        this->item.to = common::version_id("new");
        this->item.share = control::default_steps().front().share;
        this->current.rollouts.emplace(this->item.id, this->item);
    }

    auto run() -> outcome
    {
        std::exponential_distribution<double> gap(this->profile.requests_per_second);
        double now = 0.0;
        double next_evaluation = this->profile.gossip_period_s;
        while (now < longest_rollout_s && !this->result.completed) {
            now += gap(this->random);
            while (next_evaluation <= now) {
                this->evaluate(next_evaluation);
                next_evaluation += this->profile.gossip_period_s;
            }
            if (this->stop_at <= now) {
                this->result.stopped = true;
                break;
            }
            this->apply_share(now);
            this->arrive(now);
        }
        this->result.seconds = now;
        return this->result;
    }

private:
    auto chance() -> double { return this->unit(this->random); }

    auto arrive(double now) -> void
    {
        this->deliver_ratings(now);
        const auto entry =
            static_cast<std::size_t>(this->chance() * static_cast<double>(this->recorders.size()));
        const bool is_new = policy::is_in_rollout_share(this->random(), this->item.share);
        const auto& actual = is_new ? this->scene.new_version : this->scene.old_version;
        const bool failed = this->chance() < actual.error_rate;
        const auto& version = is_new ? this->item.to : this->item.from;
        this->recorders[entry].on_run(this->current, {version, failed, false});
        if (is_new) {
            ++this->result.exposed;
            recent_window::push(this->window.errors, failed ? 1.0 : 0.0);
        }
        // All answers of the new version are sent for rating. Selection for rating stays
        // independent of the answer's content.
        const double share =
            (is_new ? 1.0 : this->profile.rated_share) * this->profile.returned_share;
        if (failed || this->chance() >= share) {
            return;
        }
        const double score =
            std::clamp(actual.score + score_spread * this->gauss(this->random), 0.0, 1.0);
        this->waiting.push_back({now + this->profile.rating_delay_s, entry, is_new, score});
    }

    auto deliver_ratings(double now) -> void
    {
        while (!this->waiting.empty() && this->waiting.front().at <= now) {
            const auto each = this->waiting.front();
            this->waiting.pop_front();
            const auto& version = each.is_new ? this->item.to : this->item.from;
            this->recorders[each.entry].on_rating(this->current, version, each.score);
            if (each.is_new) {
                recent_window::push(this->window.scores, each.score);
            }
        }
    }

    auto evaluate(double now) -> void
    {
        if (this->chosen == rule::fixed_threshold) {
            this->evaluate_fixed_threshold(now);
            return;
        }
        ++this->sequence;
        for (std::size_t i = 0; i < this->recorders.size(); ++i) {
            messages::gossip report;
            report.from = common::host_id(std::to_string(i));
            report.sequence = this->sequence;
            report.evidence = this->recorders[i].report();
            this->aggregator.apply_report(report);
        }
        for (auto& recorder : this->recorders) {
            recorder.set_pooled_baseline(
                this->current, this->aggregator.counts_of(this->item.from));
        }
        const common::time_point moment{std::chrono::milliseconds(static_cast<long>(now * 1000))};
        for (const auto& action :
             this->controller.decide(this->current, this->aggregator, 0, moment)) {
            if (const auto* grow = std::get_if<control::propose_share>(&action)) {
                this->plan_share(now, grow->share, grow->step);
            }
        }
        if (this->controller.has_alarm(this->item.to)) {
            // The alarm reaches the other entries with the next gossip exchange.
            this->stop_at = std::min(this->stop_at, now + this->profile.gossip_period_s);
        }
    }

    auto evaluate_fixed_threshold(double now) -> void
    {
        if (this->window.is_bad(this->scene.old_version.score)) {
            this->stop_at = std::min(this->stop_at, now);
        }
        const auto steps = control::default_steps();
        const auto due = static_cast<std::uint32_t>(now / 1800.0);
        if (due > this->item.step && due < steps.size()) {
            this->plan_share(now, steps[due].share, due);
        }
    }

    auto plan_share(double now, common::permille share, std::uint32_t step) -> void
    {
        if (this->planned_at < HUGE_VAL) {
            return;
        }
        this->planned_at = now + append_s;
        this->planned = {share, step};
    }

    auto apply_share(double now) -> void
    {
        if (this->planned_at > now) {
            return;
        }
        this->planned_at = HUGE_VAL;
        this->item.share = this->planned.first;
        this->item.step = this->planned.second;
        this->result.completed = this->item.share == common::permille(1000);
        this->current.rollouts[this->item.id] = this->item;
    }

    const user_profile& profile;
    const scenario& scene;
    rule chosen;
    std::mt19937_64 random;
    std::normal_distribution<double> gauss{0.0, 1.0};
    std::uniform_real_distribution<double> unit{0.0, 1.0};
    std::deque<control::evidence_recorder> recorders;
    control::rollout_controller controller;
    control::evidence_aggregator aggregator;
    inventory::rollout item;
    inventory::state current;
    std::deque<pending_rating> waiting;
    recent_window window;
    std::uint64_t sequence = 0;
    double stop_at = HUGE_VAL;
    double planned_at = HUGE_VAL;
    std::pair<common::permille, std::uint32_t> planned;
    outcome result;
};

/// Largest expected growth of a betting test's log wealth per rating of the new version, when the
/// old mean and the new distribution are known. It equals KL_inf from the new distribution to those
/// with a mean of at least `old - slack`; no test with the same false-alarm rate stops earlier on
/// average.
auto rating_growth(const scenario& scene, double slack) -> double
{
    std::mt19937_64 random(99);
    std::normal_distribution<double> gauss(0.0, 1.0);
    std::vector<double> draws(20000);
    for (auto& each : draws) {
        each = std::clamp(scene.new_version.score + score_spread * gauss(random), 0.0, 1.0);
    }
    const double threshold = scene.old_version.score - slack;
    double best = 0.0;
    for (double stake = 0.01; stake < 1.0 / (1.0 - threshold); stake += 0.01) {
        double sum = 0.0;
        for (const double each : draws) {
            sum += std::log(std::max(1e-12, 1.0 + stake * (threshold - each)));
        }
        best = std::max(best, sum / static_cast<double>(draws.size()));
    }
    return best;
}

auto error_growth(const scenario& scene, double slack) -> double
{
    const double seen = scene.new_version.error_rate;
    const double allowed = scene.old_version.error_rate + slack;
    if (seen <= allowed) {
        return 0.0;
    }
    return seen * std::log(seen / allowed) + (1 - seen) * std::log((1 - seen) / (1 - allowed));
}

/// Lower bound for the mean number of requests on the new version before any test with this
/// false-alarm rate can stop it: the observations needed for the decision, plus the requests that
/// arrive at the first share during the rating delay.
auto min_exposed_requests(const user_profile& profile, const scenario& scene) -> double
{
    const policy::regression_detector_options options;
    const double needed = -std::log(options.false_alarm);
    const double by_errors = error_growth(scene, options.error_slack);
    const double by_ratings = rating_growth(scene, options.rating_slack) * profile.returned_share;
    const double first_share = control::default_steps().front().share.value() / 1000.0;
    const double per_second = profile.requests_per_second * first_share;
    if (by_errors > by_ratings) {
        return needed / by_errors;
    }
    return needed / by_ratings + per_second * profile.rating_delay_s;
}

auto measure_bad(const user_profile& profile, const scenario& scene) -> void
{
    const double bound = min_exposed_requests(profile, scene);
    std::vector<double> exposed;
    std::vector<double> ratios;
    std::vector<double> baseline;
    std::uint64_t missed = 0;
    std::uint64_t missed_by_baseline = 0;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        const auto found = rollout_run(profile, scene, rule::sequential_test, seed).run();
        const auto other = rollout_run(profile, scene, rule::fixed_threshold, seed).run();
        exposed.push_back(static_cast<double>(found.exposed));
        ratios.push_back(static_cast<double>(found.exposed) / bound);
        baseline.push_back(static_cast<double>(other.exposed));
        missed += found.stopped ? 0 : 1;
        missed_by_baseline += other.stopped ? 0 : 1;
    }
    const auto name = profile.name + "_" + scene.name;
    print_sample(name + "_exposed_requests", exposed, "requests", better::lower);
    print_sample(name + "_exposed_ratio_to_bound", ratios, "ratio", better::lower);
    print_sample(name + "_exposed_requests_fixed_rule", baseline, "requests", better::lower);
    print_metric(name + "_missed", static_cast<double>(missed), "of_20");
    print_metric(name + "_missed_fixed_rule", static_cast<double>(missed_by_baseline), "of_20");
}

auto measure_good(const user_profile& profile) -> void
{
    constexpr std::uint64_t rollouts = 300;
    double alarms = 0.0;
    double alarms_of_baseline = 0.0;
    std::vector<double> hours;
    for (std::uint64_t seed = 1; seed <= rollouts; ++seed) {
        const auto found = rollout_run(profile, equal, rule::sequential_test, seed).run();
        const auto other = rollout_run(profile, equal, rule::fixed_threshold, seed).run();
        alarms += found.stopped ? 1.0 : 0.0;
        alarms_of_baseline += other.stopped ? 1.0 : 0.0;
        hours.push_back(found.seconds / 3600.0);
    }
    print_metric(profile.name + "_false_alarm_rate", alarms / rollouts, "share");
    print_metric(
        profile.name + "_false_alarm_rate_fixed_rule", alarms_of_baseline / rollouts, "share");
    print_sample(profile.name + "_rollout_hours", hours, "hours", better::lower);
}

} // namespace

auto exposure_bench() -> void
{
    for (const auto& profile : {steinhauser(), abay()}) {
        for (const auto& scene : {worse_answers, little_worse, failing}) {
            measure_bad(profile, scene);
        }
        measure_good(profile);
    }
}

} // namespace reedramp::bench
