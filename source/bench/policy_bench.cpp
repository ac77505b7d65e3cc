#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <random>

#include "metric.hpp"
#include "parts.hpp"
#include "policy/option_choice.hpp"
#include "policy/quality.hpp"
#include "users.hpp"

namespace reedramp::bench {

namespace {

constexpr int requests_a_run = 60000;
constexpr int warm_up = 15000;
/// Correlation between an answer's own confidence and its score.
constexpr double confidence_fit = 0.7;
/// A cascade escalates to its second version if the first answer's confidence is below this.
constexpr double confidence_needed = 0.72;

struct served {
    double score = 0.0;
    double cost = 0.0;
};

struct pending_rating {
    double at = 0.0;
    policy::option_key key;
    std::size_t task = 0;
    double score = 0.0;
};

/// Draws the score and cost of serving a request with an option. Only this class reads the
/// true quality of versions.
class request_simulator {
public:
    request_simulator(const user_profile& given_profile, std::uint64_t seed)
        : profile(given_profile), random(seed)
    {
    }

    auto serve(const policy::option_key& key, std::size_t task) -> served
    {
        const double difficulty = this->normal();
        const auto& first = this->find(key.first);
        const double first_score = this->score(first.quality[task], difficulty);
        if (!key.second) {
            return {first_score, first.cost};
        }
        if (this->confidence(first_score) >= confidence_needed) {
            return {first_score, first.cost};
        }
        const auto& second = this->find(*key.second);
        return {this->score(second.quality[task], difficulty), first.cost + second.cost};
    }

    auto chance() -> double { return this->unit(this->random); }

    auto pick_task() -> std::size_t
    {
        double left = this->chance();
        for (std::size_t i = 0; i + 1 < this->profile.tasks.size(); ++i) {
            left -= this->profile.tasks[i].share;
            if (left < 0) {
                return i;
            }
        }
        return this->profile.tasks.size() - 1;
    }

private:
    auto normal() -> double { return this->gauss(this->random); }

    auto find(const common::version_id& id) const -> const version_truth&
    {
        return *std::ranges::find(this->profile.versions, id, &version_truth::id);
    }

    /// Half of the variance comes from the request's difficulty, which all versions share.
    auto score(double mean, double difficulty) -> double
    {
        const double off = 0.7 * difficulty + 0.714 * this->normal();
        return std::clamp(mean + score_spread * off, 0.0, 1.0);
    }

    auto confidence(double score) -> double
    {
        const double noise = std::sqrt(1.0 / (confidence_fit * confidence_fit) - 1.0);
        return score + score_spread * noise * this->normal();
    }

    const user_profile& profile;
    std::mt19937_64 random;
    std::normal_distribution<double> gauss{0.0, 1.0};
    std::uniform_real_distribution<double> unit{0.0, 1.0};
};

auto options_of(const user_profile& profile) -> std::vector<policy::option_key>
{
    std::vector<policy::option_key> keys;
    for (std::size_t i = 0; i < profile.versions.size(); ++i) {
        keys.push_back({profile.versions[i].id, std::nullopt});
        for (std::size_t j = i + 1; j < profile.versions.size(); ++j) {
            keys.push_back({profile.versions[i].id, profile.versions[j].id});
        }
    }
    return keys;
}

/// Mean score and cost of one option in each task, estimated by Monte Carlo simulation; known to
/// the oracle only.
struct oracle_row {
    policy::option_key key;
    std::vector<served> by_task;
};

auto compute_oracle(const user_profile& profile) -> std::vector<oracle_row>
{
    constexpr int draws = 40000;
    std::vector<oracle_row> rows;
    request_simulator simulator(profile, 424242);
    for (const auto& key : options_of(profile)) {
        oracle_row row{key, {}};
        for (std::size_t task = 0; task < profile.tasks.size(); ++task) {
            served sum;
            for (int i = 0; i < draws; ++i) {
                const auto one = simulator.serve(key, task);
                sum.score += one.score / draws;
                sum.cost += one.cost / draws;
            }
            row.by_task.push_back(sum);
        }
        rows.push_back(row);
    }
    return rows;
}

auto oracle_cost(const user_profile& profile, const std::vector<oracle_row>& rows, std::size_t task)
    -> double
{
    double best = HUGE_VAL;
    for (const auto& row : rows) {
        const bool allowed = !row.key.second || profile.tasks[task].may_cascade;
        if (allowed && row.by_task[task].score >= profile.tasks[task].target) {
            best = std::min(best, row.by_task[task].cost);
        }
    }
    return best;
}

struct run_result {
    double cost_ratio_to_oracle = 0.0;
    double cost_ratio_to_best = 0.0;
    /// Smallest difference between achieved score and target over all tasks.
    double margin = 1.0;
};

enum class choice_mode : std::uint8_t {
    /// Baseline: every single choice meets the target.
    strict,
    /// The mean over the choices meets the target.
    mixed,
};

/// Simulates one user's traffic with `policy::choose` on a virtual clock.
class policy_run {
public:
    policy_run(const user_profile& given_profile, std::uint64_t seed, choice_mode given_mode)
        : profile(given_profile), mode(given_mode), simulator(given_profile, seed),
          tracker(policy::quality_options{}), keys(options_of(given_profile)),
          costs(keys.size() * given_profile.tasks.size())
    {
        for (std::size_t i = 0; i < this->keys.size(); ++i) {
            for (std::size_t task = 0; task < this->profile.tasks.size(); ++task) {
                this->costs[this->slot(i, task)] = this->price(this->keys[i]);
            }
        }
    }

    auto run(const std::vector<oracle_row>& truth) -> run_result
    {
        std::vector<served> sums(this->profile.tasks.size());
        std::vector<int> counts(this->profile.tasks.size());
        for (int i = 0; i < requests_a_run; ++i) {
            const double now = i / this->profile.requests_per_second;
            this->deliver_ratings(now);
            const auto task = this->simulator.pick_task();
            const auto one = this->serve(task, now);
            if (i >= warm_up) {
                sums[task].score += one.score;
                sums[task].cost += one.cost;
                ++counts[task];
            }
        }
        return this->summarise(truth, sums, counts);
    }

private:
    [[nodiscard]] auto slot(std::size_t option, std::size_t task) const -> std::size_t
    {
        return option * this->profile.tasks.size() + task;
    }

    [[nodiscard]] auto price(const policy::option_key& key) const -> double
    {
        double sum = 0.0;
        for (const auto& each : this->profile.versions) {
            if (each.id == key.first || (key.second && each.id == *key.second)) {
                sum += each.cost;
            }
        }
        return sum;
    }

    auto deliver_ratings(double now) -> void
    {
        while (!this->waiting.empty() && this->waiting.front().at <= now) {
            const auto& each = this->waiting.front();
            this->tracker.add(each.key, this->profile.tasks[each.task].name, each.score);
            this->waiting.pop_front();
        }
    }

    auto serve(std::size_t task, double now) -> served
    {
        std::vector<policy::option> options;
        for (std::size_t i = 0; i < this->keys.size(); ++i) {
            const auto cost = static_cast<std::int64_t>(this->costs[this->slot(i, task)]);
            options.push_back(
                {this->keys[i],
                 common::micro_money(cost),
                 {},
                 this->tracker.estimate(this->keys[i], this->profile.tasks[task].name)});
        }
        policy::choice_input input;
        input.options = options;
        input.quality_target = this->profile.tasks[task].target;
        input.may_cascade = this->profile.tasks[task].may_cascade;
        input.chance = this->simulator.chance();
        if (this->mode == choice_mode::mixed) {
            input.quality_price = this->price_controllers[task].price();
        }
        const auto made = policy::choose(input);
        this->record_choice(*made, options, task);
        const auto one = this->simulator.serve(made->key, task);
        const auto index =
            static_cast<std::size_t>(std::ranges::find(this->keys, made->key) - this->keys.begin());
        auto& cost = this->costs[this->slot(index, task)];
        cost += 0.02 * (one.cost - cost);
        // Explored answers are always sent for rating. Selection for rating stays independent of
        // the answer's content.
        const bool explored = made->reason == policy::choice_reason::exploring;
        const double share = explored ? 1.0 : this->profile.rated_share;
        const bool rated = this->simulator.chance() < share * this->profile.returned_share;
        if (rated) {
            this->waiting.push_back(
                {now + this->profile.rating_delay_s, made->key, task, one.score});
        }
        return one;
    }

    auto record_choice(
        const policy::choice& made, const std::vector<policy::option>& options, std::size_t task)
        -> void
    {
        if (made.reason != policy::choice_reason::mixed_at_target) {
            return;
        }
        const auto chosen = std::ranges::find(options, made.key, &policy::option::key);
        const auto most_expensive = std::ranges::max(options, {}, &policy::option::expected_cost);
        this->price_controllers[task].update(
            chosen->quality, this->profile.tasks[task].target, most_expensive.expected_cost);
    }

    [[nodiscard]] auto summarise(
        const std::vector<oracle_row>& truth,
        const std::vector<served>& sums,
        const std::vector<int>& counts) const -> run_result
    {
        run_result found;
        double cost = 0.0;
        double oracle = 0.0;
        double best = 0.0;
        for (std::size_t task = 0; task < sums.size(); ++task) {
            cost += sums[task].cost;
            oracle += oracle_cost(this->profile, truth, task) * counts[task];
            best += this->profile.versions.back().cost * counts[task];
            const double achieved = sums[task].score / counts[task];
            found.margin = std::min(found.margin, achieved - this->profile.tasks[task].target);
        }
        found.cost_ratio_to_oracle = cost / oracle;
        found.cost_ratio_to_best = cost / best;
        return found;
    }

    const user_profile& profile;
    choice_mode mode;
    request_simulator simulator;
    policy::quality_tracker tracker;
    std::vector<policy::option_key> keys;
    std::vector<double> costs;
    std::array<policy::quality_price_controller, 8> price_controllers;
    std::deque<pending_rating> waiting;
};

auto measure(const user_profile& profile, choice_mode mode, const std::string& prefix) -> void
{
    const auto truth = compute_oracle(profile);
    std::vector<double> to_oracle;
    std::vector<double> to_best;
    std::vector<double> margins;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        const auto found = policy_run(profile, seed, mode).run(truth);
        to_oracle.push_back(found.cost_ratio_to_oracle);
        to_best.push_back(found.cost_ratio_to_best);
        margins.push_back(found.margin);
    }
    print_sample(prefix + "_cost_ratio_to_oracle", to_oracle, "ratio", better::lower);
    print_sample(prefix + "_quality_margin", margins, "score", better::higher);
    print_sample(prefix + "_cost_ratio_to_always_best", to_best, "ratio", better::lower);
}

} // namespace

auto policy_bench() -> void
{
    for (const auto& profile : {steinhauser(), abay()}) {
        measure(profile, choice_mode::mixed, profile.name);
        measure(profile, choice_mode::strict, profile.name + "_strict");
    }
}

} // namespace reedramp::bench
