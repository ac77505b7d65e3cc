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
    /// Share of the entries that the fault stops, and after how long membership drops them.
    double lost = 0.0;
    int dropped_after = 10;
    /// Share of the entries that start at the fault.
    double joining = 0.0;
    /// After the fault only entries of the same half of the data centres hear each other.
    bool split = false;
    /// Each entry admits its equal part of the limit and nothing else.
    bool fixed_parts = false;
};

class fleet {
public:
    fleet(const scenario& what, std::uint64_t seed) : wanted(what), random(seed)
    {
        for (std::size_t number = 0; number < what.entries; ++number) {
            this->peers.push_back(
                {common::host_id("entry-" + std::to_string(number)),
                 common::data_centre_id("dc-" + std::to_string(number % data_centres))});
            this->numbers.emplace(this->peers.back().host, number);
            // The balancer spreads evenly, but callers stay on their connections.
            this->weights.push_back(0.3 + this->unit(this->random));
            this->keepers.push_back(std::make_unique<limits::shared_limiter>(
                limits::shared_limiter_settings{
                    this->peers[number].host, this->peers[number].data_centre},
                seed * 1000 + number));
            this->keepers.back()->set_limits({{this->organisation, {what.limit, 0, 0}}});
        }
        this->alive.assign(what.entries, true);
        const auto starting =
            static_cast<std::size_t>(what.joining * static_cast<double>(what.entries));
        std::fill_n(this->alive.begin(), starting, false);
        this->list_entries();
    }

    /// Admitted requests of each second.
    auto run() -> std::vector<double>
    {
        std::vector<double> admitted(seconds_in_run, 0.0);
        for (int step = 0; step < seconds_in_run * steps_per_second; ++step) {
            const auto second = step / steps_per_second;
            if (step == fault_at * steps_per_second) {
                this->fail();
            }
            if (step == (fault_at + this->wanted.dropped_after) * steps_per_second) {
                this->list_entries();
            }
            this->now += std::chrono::milliseconds(1000 / steps_per_second);
            this->exchange(static_cast<std::size_t>(step % steps_per_second));
            admitted[static_cast<std::size_t>(second)] += this->offer(second);
        }
        return admitted;
    }

private:
    auto fail() -> void
    {
        const auto count = static_cast<double>(this->wanted.entries);
        this->is_split = this->wanted.split;
        std::fill_n(
            this->alive.begin(), static_cast<std::size_t>(this->wanted.joining * count), true);
        const auto lost = static_cast<std::size_t>(this->wanted.lost * count);
        std::fill_n(this->alive.begin(), lost, false);
        if (this->wanted.joining > 0.0) {
            this->list_entries();
        }
    }

    auto list_entries() -> void
    {
        std::vector<limits::entry_peer> listed;
        for (std::size_t number = 0; number < this->peers.size(); ++number) {
            if (this->alive[number]) {
                listed.push_back(this->peers[number]);
            }
        }
        for (std::size_t number = 0; number < this->peers.size(); ++number) {
            this->keepers[number]->set_entries(listed);
        }
    }

    [[nodiscard]] auto hears(std::size_t from, std::size_t to) const -> bool
    {
        const auto half = [](std::size_t number) {
            return number % data_centres % 2;
        };
        return this->alive[to] && !(this->is_split && half(from) != half(to));
    }

    /// A tenth of the entries reports in each step.
    auto exchange(std::size_t phase) -> void
    {
        if (this->wanted.fixed_parts) {
            return;
        }
        for (auto from = phase; from < this->keepers.size(); from += steps_per_second) {
            if (!this->alive[from]) {
                continue;
            }
            for (const auto& report : this->keepers[from]->make_reports(this->now)) {
                const auto to = this->numbers.at(report.to);
                if (this->hears(from, to)) {
                    const auto& host = this->peers[from].host;
                    const auto rows = this->keepers[to]->on_report(host, report.rows, this->now);
                    this->keepers[from]->on_answer(report.to, rows, this->now);
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
                    this->keepers[number]->admit(this->organisation, {1, 0, 0}, this->now);
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
    std::unordered_map<common::host_id, std::size_t> numbers;
    std::vector<std::unique_ptr<limits::shared_limiter>> keepers;
    std::vector<double> weights;
    std::vector<bool> alive;
    bool is_split = false;
    common::time_point now{std::chrono::hours(1)};
};

/// The most and the least admitted in any minute after `from`, in units of the limit.
struct extremes {
    double most = 0.0;
    double least = 0.0;
};

auto minutes_of(const std::vector<double>& admitted, double limit, int from) -> extremes
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

/// Prints the scenario's figures and gives the medians.
auto measure(const scenario& what) -> extremes
{
    std::vector<double> most(seed_count);
    std::vector<double> least(seed_count);
    std::vector<std::future<void>> running;
    for (std::size_t thread = 0; thread < threads; ++thread) {
        running.push_back(std::async(std::launch::async, [&, thread] {
            for (auto seed = thread; seed < seed_count; seed += threads) {
                const auto admitted = fleet(what, seed + 1).run();
                const auto found = minutes_of(admitted, what.limit, warm_up);
                most[seed] = found.most;
                least[seed] = found.least;
            }
        }));
    }
    for (auto& one : running) {
        one.get();
    }
    print_sample("limit_overshoot_ratio_" + what.name, most, "ratio", better::lower);
    // With demand under the limit a minute admits less, and that is no underuse.
    if (std::min(what.demand_before, what.demand_after) > 1.0) {
        print_sample("limit_underuse_ratio_" + what.name, least, "ratio", better::higher);
        return {median_of(most), median_of(least)};
    }
    return {median_of(most), 1.0};
}

} // namespace

auto limits_bench() -> void
{
    extremes all{0.0, 1.0};
    const auto take = [&all](const extremes& found) {
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
            take(measure(scenario_of("steady")));
            auto flood = scenario_of("flood");
            flood.demand_before = 0.5;
            flood.demand_after = 10.0;
            take(measure(flood));
            auto lost = scenario_of("entries_lost");
            lost.lost = 0.34;
            take(measure(lost));
            auto joining = scenario_of("entries_join");
            joining.joining = 0.34;
            take(measure(joining));
            auto split = scenario_of("split");
            split.split = true;
            take(measure(split));
            auto fixed = scenario_of("fixed_parts");
            fixed.fixed_parts = true;
            measure(fixed);
        }
    }
    print_metric("limit_overshoot_ratio", all.most, "ratio");
    print_metric("limit_underuse_ratio", all.least, "ratio");
}

} // namespace reedramp::bench
