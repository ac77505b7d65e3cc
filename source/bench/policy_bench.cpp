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
/// How well an answer's own confidence tells its score, as the correlation of the two.
constexpr double confidence_fit = 0.7;
/// A first answer with a lower confidence than this is passed on by a cascade.
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

/// Draws what happens when a request is served in some way. Only this class knows the truths.
class world {
public:
    world(const user& whose, std::uint64_t seed) : owner(whose), random(seed) {}

    auto serve(const policy::option_key& key, std::size_t task) -> served
    {
        const double hardness = this->normal();
        const auto& first = this->find(key.first);
        const double first_score = this->score(first.quality[task], hardness);
        if (!key.second) {
            return {first_score, first.cost};
        }
        if (this->confidence(first_score) >= confidence_needed) {
            return {first_score, first.cost};
        }
        const auto& second = this->find(*key.second);
        return {this->score(second.quality[task], hardness), first.cost + second.cost};
    }

    auto chance() -> double { return this->unit(this->random); }

    auto pick_task() -> std::size_t
    {
        double left = this->chance();
        for (std::size_t i = 0; i + 1 < this->owner.tasks.size(); ++i) {
            left -= this->owner.tasks[i].share;
            if (left < 0) {
                return i;
            }
        }
        return this->owner.tasks.size() - 1;
    }

private:
    auto normal() -> double { return this->gauss(this->random); }

    auto find(const common::version_id& id) const -> const version_truth&
    {
        return *std::ranges::find(this->owner.versions, id, &version_truth::id);
    }

    /// Half of the spread comes from the request's hardness, which all versions share.
    auto score(double mean, double hardness) -> double
    {
        const double off = 0.7 * hardness + 0.714 * this->normal();
        return std::clamp(mean + score_spread * off, 0.0, 1.0);
    }

    auto confidence(double score) -> double
    {
        const double noise = std::sqrt(1.0 / (confidence_fit * confidence_fit) - 1.0);
        return score + score_spread * noise * this->normal();
    }

    const user& owner;
    std::mt19937_64 random;
    std::normal_distribution<double> gauss{0.0, 1.0};
    std::uniform_real_distribution<double> unit{0.0, 1.0};
};

auto options_of(const user& owner) -> std::vector<policy::option_key>
{
    std::vector<policy::option_key> keys;
    for (std::size_t i = 0; i < owner.versions.size(); ++i) {
        keys.push_back({owner.versions[i].id, std::nullopt});
        for (std::size_t j = i + 1; j < owner.versions.size(); ++j) {
            keys.push_back({owner.versions[i].id, owner.versions[j].id});
        }
    }
    return keys;
}

/// Mean score and cost of each option in each task, by drawing many; what an oracle would know.
struct oracle_row {
    policy::option_key key;
    std::vector<served> by_task;
};

auto ask_oracle(const user& owner) -> std::vector<oracle_row>
{
    constexpr int draws = 40000;
    std::vector<oracle_row> rows;
    world draws_from(owner, 424242);
    for (const auto& key : options_of(owner)) {
        oracle_row row{key, {}};
        for (std::size_t task = 0; task < owner.tasks.size(); ++task) {
            served sum;
            for (int i = 0; i < draws; ++i) {
                const auto one = draws_from.serve(key, task);
                sum.score += one.score / draws;
                sum.cost += one.cost / draws;
            }
            row.by_task.push_back(sum);
        }
        rows.push_back(row);
    }
    return rows;
}

auto oracle_cost(const user& owner, const std::vector<oracle_row>& rows, std::size_t task) -> double
{
    double best = HUGE_VAL;
    for (const auto& row : rows) {
        const bool allowed = !row.key.second || owner.tasks[task].may_cascade;
        if (allowed && row.by_task[task].score >= owner.tasks[task].target) {
            best = std::min(best, row.by_task[task].cost);
        }
    }
    return best;
}

struct run_result {
    double cost_ratio_to_oracle = 0.0;
    double cost_ratio_to_best = 0.0;
    /// Least of achieved minus target over the tasks.
    double margin = 1.0;
};

enum class choice_mode : std::uint8_t {
    /// Each choice meets the target by itself; the baseline.
    strict,
    /// The mean of the choices meets it.
    mixed,
};

/// One user's traffic under the chooser, on a virtual clock.
class policy_run {
public:
    policy_run(const user& whose, std::uint64_t seed, choice_mode how)
        : owner(whose), mode(how), draws(whose, seed), book(policy::quality_options{}),
          keys(options_of(whose)), costs(keys.size() * whose.tasks.size())
    {
        for (std::size_t i = 0; i < this->keys.size(); ++i) {
            for (std::size_t task = 0; task < this->owner.tasks.size(); ++task) {
                this->costs[this->slot(i, task)] = this->price(this->keys[i]);
            }
        }
    }

    auto run(const std::vector<oracle_row>& truth) -> run_result
    {
        std::vector<served> sums(this->owner.tasks.size());
        std::vector<int> counts(this->owner.tasks.size());
        for (int i = 0; i < requests_a_run; ++i) {
            const double now = i / this->owner.requests_per_second;
            this->deliver(now);
            const auto task = this->draws.pick_task();
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
        return option * this->owner.tasks.size() + task;
    }

    [[nodiscard]] auto price(const policy::option_key& key) const -> double
    {
        double sum = 0.0;
        for (const auto& each : this->owner.versions) {
            if (each.id == key.first || (key.second && each.id == *key.second)) {
                sum += each.cost;
            }
        }
        return sum;
    }

    auto deliver(double now) -> void
    {
        while (!this->waiting.empty() && this->waiting.front().at <= now) {
            const auto& each = this->waiting.front();
            this->book.add(each.key, this->owner.tasks[each.task].name, each.score);
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
                 this->book.estimate(this->keys[i], this->owner.tasks[task].name)});
        }
        policy::choice_input input;
        input.options = options;
        input.quality_target = this->owner.tasks[task].target;
        input.may_cascade = this->owner.tasks[task].may_cascade;
        input.chance = this->draws.chance();
        if (this->mode == choice_mode::mixed) {
            input.quality_price = this->accounts[task].price();
        }
        const auto made = policy::choose(input);
        this->book_choice(*made, options, task);
        const auto one = this->draws.serve(made->key, task);
        const auto index =
            static_cast<std::size_t>(std::ranges::find(this->keys, made->key) - this->keys.begin());
        auto& cost = this->costs[this->slot(index, task)];
        cost += 0.02 * (one.cost - cost);
        // What was explored is always sent for rating; which answers are rated still does not
        // depend on the answer.
        const bool explored = made->reason == policy::choice_reason::exploring;
        const double share = explored ? 1.0 : this->owner.rated;
        const bool rated = this->draws.chance() < share * this->owner.returned;
        if (rated) {
            this->waiting.push_back({now + this->owner.rating_delay_s, made->key, task, one.score});
        }
        return one;
    }

    auto book_choice(
        const policy::choice& made, const std::vector<policy::option>& options, std::size_t task)
        -> void
    {
        if (made.reason != policy::choice_reason::mixed_at_target) {
            return;
        }
        const auto chosen = std::ranges::find(options, made.key, &policy::option::key);
        const auto dearest = std::ranges::max(options, {}, &policy::option::expected_cost);
        this->accounts[task].update(
            chosen->quality, this->owner.tasks[task].target, dearest.expected_cost);
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
            oracle += oracle_cost(this->owner, truth, task) * counts[task];
            best += this->owner.versions.back().cost * counts[task];
            const double achieved = sums[task].score / counts[task];
            found.margin = std::min(found.margin, achieved - this->owner.tasks[task].target);
        }
        found.cost_ratio_to_oracle = cost / oracle;
        found.cost_ratio_to_best = cost / best;
        return found;
    }

    const user& owner;
    choice_mode mode;
    world draws;
    policy::quality_tracker book;
    std::vector<policy::option_key> keys;
    std::vector<double> costs;
    std::array<policy::quality_price_controller, 8> accounts;
    std::deque<pending_rating> waiting;
};

auto measure(const user& owner, choice_mode mode, const std::string& prefix) -> void
{
    const auto truth = ask_oracle(owner);
    std::vector<double> to_oracle;
    std::vector<double> to_best;
    std::vector<double> margins;
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        const auto found = policy_run(owner, seed, mode).run(truth);
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
    for (const auto& owner : {steinhauser(), abay()}) {
        measure(owner, choice_mode::mixed, owner.name);
        measure(owner, choice_mode::strict, owner.name + "_strict");
    }
}

} // namespace reedramp::bench
