#include <algorithm>
#include <cstdio>
#include <future>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <unordered_map>

#include "limits/shared_limiter.hpp"
#include "metric.hpp"
#include "parts.hpp"

namespace reedramp::bench {

namespace {

constexpr int steps_per_second = 10;
constexpr int seconds_in_run = 300;
constexpr int fault_at = 120;
constexpr int warm_up = 20;
constexpr int window = 60;
constexpr std::size_t data_centres = 6;
constexpr std::size_t threads = 4;

struct scenario {
    std::string name;
    std::size_t entries = 3;
    double limit = 600.0;
    /// Demand in units of the limit, before and after the fault.
    double demand_before = 2.0;
    double demand_after = 2.0;
    /// Share of the entries that the fault stops, and seconds until membership removes them.
    double lost = 0.0;
    int dropped_after = 10;
    /// Share of the entries that start at the fault.
    double joining = 0.0;
    /// After the fault, entries can only reach those in the same half of the data centres.
    bool split = false;
    /// Baseline: each entry admits a fixed, equal share of the limit.
    bool fixed_shares = false;
};

class fleet {
public:
    fleet(const scenario& given_scenario, std::uint64_t seed) : wanted(given_scenario), random(seed)
    {
        for (std::size_t number = 0; number < given_scenario.entries; ++number) {
            this->peers.push_back(
                {common::host_id("entry-" + std::to_string(number)),
                 common::data_centre_id("dc-" + std::to_string(number % data_centres))});
            this->entry_indexes.emplace(this->peers.back().host, number);
            // Load per entry is uneven: the balancer spreads connections evenly, but callers reuse
            // them.
            this->weights.push_back(0.3 + this->unit(this->random));
            this->limiters.push_back(std::make_unique<limits::shared_limiter>(
                limits::shared_limiter_settings{
                    this->peers[number].host, this->peers[number].data_centre},
                seed * 1000 + number));
            this->limiters.back()->set_limits({{this->organisation, {given_scenario.limit, 0, 0}}});
        }
        this->alive.assign(given_scenario.entries, true);
        const auto starting = static_cast<std::size_t>(
            given_scenario.joining * static_cast<double>(given_scenario.entries));
        std::fill_n(this->alive.begin(), starting, false);
        this->update_entry_lists();
    }

    /// Runs the scenario and returns the number of requests admitted in each second.
    auto run() -> std::vector<double>
    {
        std::vector<double> admitted(seconds_in_run, 0.0);
        for (int step = 0; step < seconds_in_run * steps_per_second; ++step) {
            const auto second = step / steps_per_second;
            if (step == fault_at * steps_per_second) {
                this->inject_fault();
            }
            if (step == (fault_at + this->wanted.dropped_after) * steps_per_second) {
                this->update_entry_lists();
            }
            this->now += std::chrono::milliseconds(1000 / steps_per_second);
            this->exchange_reports(static_cast<std::size_t>(step % steps_per_second));
            admitted[static_cast<std::size_t>(second)] += this->offer(second);
        }
        return admitted;
    }

private:
    auto inject_fault() -> void
    {
        const auto count = static_cast<double>(this->wanted.entries);
        this->is_split = this->wanted.split;
        std::fill_n(
            this->alive.begin(), static_cast<std::size_t>(this->wanted.joining * count), true);
        const auto lost = static_cast<std::size_t>(this->wanted.lost * count);
        std::fill_n(this->alive.begin(), lost, false);
        if (this->wanted.joining > 0.0) {
            this->update_entry_lists();
        }
    }

    auto update_entry_lists() -> void
    {
        std::vector<limits::entry_peer> listed;
        for (std::size_t number = 0; number < this->peers.size(); ++number) {
            if (this->alive[number]) {
                listed.push_back(this->peers[number]);
            }
        }
        for (std::size_t number = 0; number < this->peers.size(); ++number) {
            this->limiters[number]->set_entries(listed);
        }
    }

    [[nodiscard]] auto can_reach(std::size_t from, std::size_t to) const -> bool
    {
        const auto half = [](std::size_t number) {
            return number % data_centres % 2;
        };
        return this->alive[to] && !(this->is_split && half(from) != half(to));
    }

    /// Sends the reports of a tenth of the entries in each step.
    auto exchange_reports(std::size_t phase) -> void
    {
        if (this->wanted.fixed_shares) {
            return;
        }
        for (auto from = phase; from < this->limiters.size(); from += steps_per_second) {
            if (!this->alive[from]) {
                continue;
            }
            for (const auto& report : this->limiters[from]->make_reports(this->now)) {
                const auto to = this->entry_indexes.at(report.to);
                if (this->can_reach(from, to)) {
                    const auto& host = this->peers[from].host;
                    const auto rows = this->limiters[to]->on_report(host, report.rows, this->now);
                    this->limiters[from]->on_answer(report.to, rows, this->now);
                }
            }
        }
    }

    auto offer(int second) -> double
    {
        const auto demand =
            second < fault_at ? this->wanted.demand_before : this->wanted.demand_after;
        auto total = 0.0;
        for (std::size_t number = 0; number < this->weights.size(); ++number) {
            total += this->alive[number] ? this->weights[number] : 0.0;
        }
        double admitted = 0.0;
        for (std::size_t number = 0; number < this->weights.size(); ++number) {
            if (!this->alive[number]) {
                continue;
            }
            const auto per_step = demand * this->wanted.limit / window / steps_per_second;
            std::poisson_distribution<int> arrivals(per_step * this->weights[number] / total);
            for (auto left = arrivals(this->random); left > 0; --left) {
                const auto done =
                    this->limiters[number]->admit(this->organisation, {1, 0, 0}, this->now);
                admitted += done ? 1.0 : 0.0;
            }
        }
        return admitted;
    }

    const scenario& wanted;
    common::organisation_id organisation{"organisation"};
    std::mt19937_64 random;
    std::uniform_real_distribution<double> unit{0.0, 1.0};
    std::vector<limits::entry_peer> peers;
    std::unordered_map<common::host_id, std::size_t> entry_indexes;
    std::vector<std::unique_ptr<limits::shared_limiter>> limiters;
    std::vector<double> weights;
    std::vector<bool> alive;
    bool is_split = false;
    common::time_point now{std::chrono::hours(1)};
};

/// The most and the least admitted in any minute after second `from`, in units of the limit.
struct extremes {
    double most = 0.0;
    double least = 0.0;
};

auto minute_extremes(const std::vector<double>& admitted, double limit, int from) -> extremes
{
    extremes found{0.0, 1e9};
    for (auto begin = from; begin + window <= seconds_in_run; ++begin) {
        const auto first = admitted.begin() + begin;
        const auto ratio = std::accumulate(first, first + window, 0.0) / limit;
        found.most = std::max(found.most, ratio);
        found.least = std::min(found.least, ratio);
    }
    return found;
}

/// Prints the scenario's metrics and returns the medians.
auto measure(const scenario& given_scenario) -> extremes
{
    std::vector<double> most(seed_count);
    std::vector<double> least(seed_count);
    std::vector<std::future<void>> running;
    for (std::size_t thread = 0; thread < threads; ++thread) {
        running.push_back(std::async(std::launch::async, [&, thread] {
            for (auto seed = thread; seed < seed_count; seed += threads) {
                const auto admitted = fleet(given_scenario, seed + 1).run();
                const auto found = minute_extremes(admitted, given_scenario.limit, warm_up);
                most[seed] = found.most;
                least[seed] = found.least;
            }
        }));
    }
    for (auto& one : running) {
        one.get();
    }
    print_sample("limit_overshoot_ratio_" + given_scenario.name, most, "ratio", better::lower);
    // Underuse is only meaningful when demand exceeds the limit.
    if (std::min(given_scenario.demand_before, given_scenario.demand_after) > 1.0) {
        print_sample("limit_underuse_ratio_" + given_scenario.name, least, "ratio", better::higher);
        return {median_of(most), median_of(least)};
    }
    return {median_of(most), 1.0};
}

} // namespace

auto limits_bench() -> void
{
    extremes all{0.0, 1.0};
    const auto include = [&all](const extremes& found) {
        all.most = std::max(all.most, found.most);
        all.least = std::min(all.least, found.least);
    };
    for (const std::size_t entries : {3, 390}) {
        for (const auto limit : {600.0, 6000.0}) {
            const auto size = "_" + std::to_string(entries) + "_entries_" +
                              std::to_string(static_cast<int>(limit)) + "_a_minute";
            const auto scenario_of = [&](const std::string& name) {
                scenario made;
                made.name = name + size;
                made.entries = entries;
                made.limit = limit;
                return made;
            };
            include(measure(scenario_of("steady")));
            auto flood = scenario_of("flood");
            flood.demand_before = 0.5;
            flood.demand_after = 10.0;
            include(measure(flood));
            auto lost = scenario_of("entries_lost");
            lost.lost = 0.34;
            include(measure(lost));
            auto joining = scenario_of("entries_join");
            joining.joining = 0.34;
            include(measure(joining));
            auto split = scenario_of("split");
            split.split = true;
            include(measure(split));
            auto fixed = scenario_of("fixed_parts");
            fixed.fixed_shares = true;
            measure(fixed);
        }
    }
    print_metric("limit_overshoot_ratio", all.most, "ratio");
    print_metric("limit_underuse_ratio", all.least, "ratio");
}

} // namespace reedramp::bench
