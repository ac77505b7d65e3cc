#include "placement/retry_budget.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "../retry_allowance.hpp"

namespace reedramp::placement::test {

namespace {

using reedramp::testing::retry_allowance;
using reedramp::testing::service_history;
using reedramp::testing::worst_excess;
using namespace std::chrono_literals;

constexpr common::duration step = 10ms;
constexpr common::time_point start{1000s};

struct fleet_options {
    std::size_t entries = 4;
    /// Requests per second to the service, over all entries.
    double per_second = 50.0;
    retry_allowance allowed{0.9, 10s, 52.0};
    std::uint64_t seed = 1;
    /// What processes believe of the number of entries, as a part of the true number.
    double heard = 1.0;
};

/// Budgets of many entries, each asked for more retries than it grants.
class budget_fleet {
public:
    explicit budget_fleet(const fleet_options& wanted)
        : random(wanted.seed), options(wanted), weights(wanted.entries, 1.0)
    {
        for (std::size_t i = 0; i < wanted.entries; ++i) {
            this->budgets.push_back(this->make_process());
        }
    }

    auto restart(std::size_t entry) -> void { this->budgets[entry] = this->make_process(); }

    auto restart_all() -> void
    {
        for (std::size_t i = 0; i < this->budgets.size(); ++i) {
            this->restart(i);
        }
    }

    auto add_entry() -> void
    {
        this->budgets.push_back(this->make_process());
        this->weights.push_back(1.0);
    }

    /// Changes which entries callers use most.
    auto shift_callers() -> void
    {
        for (auto& weight : this->weights) {
            weight = std::exponential_distribution{1.0}(this->random) + 0.01;
        }
    }

    auto stop_callers_at(std::size_t entry) -> void { this->weights[entry] = 0.0; }

    /// Runs with `factor` times the usual load. With `is_failing`, all retries that are granted
    /// are used; otherwise none.
    auto run(common::duration time, bool is_failing, double factor = 1.0) -> void
    {
        for (const auto until = this->now + time; this->now < until; this->now += step) {
            const auto seconds = std::chrono::duration<double>(step).count();
            std::poisson_distribution arrivals{this->options.per_second * factor * seconds};
            for (auto left = arrivals(this->random); left > 0; --left) {
                this->request();
            }
            if (is_failing) {
                this->retry_without_end();
            }
        }
    }

    service_history seen;
    std::mt19937_64 random;
    common::time_point now = start;

private:
    auto make_process() -> std::unique_ptr<retry_budget>
    {
        const auto& allowed = this->options.allowed;
        return std::make_unique<retry_budget>(
            retry_budget_settings{allowed.ratio, allowed.extra, allowed.window},
            retry_budget_hooks{
                [this] { return this->now; },
                [this] { return this->random(); },
                [this] {
                    const auto all = static_cast<double>(this->budgets.size());
                    return static_cast<std::size_t>(std::ceil(all * this->options.heard));
                }});
    }

    auto request() -> void
    {
        this->seen.requests.push_back(this->now);
        std::discrete_distribution<std::size_t> entry{this->weights.begin(), this->weights.end()};
        this->budgets[entry(this->random)]->record_first_attempt();
    }

    auto retry_without_end() -> void
    {
        for (auto& budget : this->budgets) {
            // Each denied one may have used up a part of a retry: the next finds less.
            for (int denied = 0; denied < 3;) {
                if (budget->try_acquire_retry()) {
                    this->seen.repeats.push_back(this->now);
                }
                else {
                    ++denied;
                }
            }
        }
    }

    fleet_options options;
    std::vector<std::unique_ptr<retry_budget>> budgets;
    std::vector<double> weights;
};

/// Entries restart, join and lose their callers at random moments, under uneven load.
auto run_disturbed(budget_fleet& fleet) -> void
{
    fleet.run(12s, false);
    for (int event = 0; event < 24; ++event) {
        const auto time = std::chrono::milliseconds{200 + fleet.random() % 2500};
        const auto factor = 0.6 + static_cast<double>(fleet.random() % 10) / 10.0;
        switch (fleet.random() % 5) {
        case 0:
            fleet.restart_all();
            break;
        case 1:
            fleet.restart(0);
            break;
        case 2:
            fleet.add_entry();
            break;
        case 3:
            fleet.shift_callers();
            break;
        default:
            fleet.stop_callers_at(0);
        }
        fleet.run(time, fleet.random() % 4 != 0, factor);
    }
}

} // namespace

TEST_CASE("retries stay within their share of first attempts", "[retry_budget]")
{
    // Guards against retries multiplying the load while all servers refuse.
    budget_fleet fleet{{.entries = 1, .per_second = 100.0, .allowed = {0.1, 10s, 5.0}}};
    fleet.run(10s, true);
    const auto first = static_cast<double>(fleet.seen.requests.size());
    CHECK(static_cast<double>(fleet.seen.repeats.size()) >= 0.07 * first);
    CHECK(static_cast<double>(fleet.seen.repeats.size()) <= 0.1 * first + 5.0);
}

TEST_CASE("the budgets of all entries keep the deployment's allowance", "[retry_budget]")
{
    // Guards against an allowance that each entry, or each new process, has for itself.
    struct row {
        std::size_t entries;
        double per_second;
        double extra;
    };

    for (const auto& [entries, per_second, extra] :
         {row{3, 50.0, 52.0},
          row{4, 50.0, 52.0},
          row{4, 2.0, 52.0},
          row{28, 350.0, 96.0},
          row{28, 5.0, 96.0},
          row{103, 1300.0, 246.0},
          row{390, 4200.0, 600.0},
          row{390, 40.0, 52.0}}) {
        for (const double ratio : {0.1, 0.9}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                INFO(entries << " entries, " << per_second << "/s, ratio " << ratio);
                INFO("seed " << seed);
                const retry_allowance allowed{ratio, 10s, extra};
                budget_fleet fleet{{entries, per_second, allowed, seed}};
                run_disturbed(fleet);
                CHECK(worst_excess(fleet.seen, allowed) <= 0.0);
            }
        }
    }
}

TEST_CASE("restarts of all entries in series bring no retries", "[retry_budget]")
{
    // Guards against a budget that each new process has for itself.
    const retry_allowance allowed{0.9, 10s, 52.0};
    budget_fleet fleet{{.allowed = allowed}};
    fleet.run(12s, false);
    for (int i = 0; i < 20; ++i) {
        fleet.restart_all();
        fleet.run(700ms, true);
    }
    CHECK(worst_excess(fleet.seen, allowed) <= 0.0);
}

TEST_CASE("entries that hear half of the others keep the allowance", "[retry_budget]")
{
    // Guards against shares that add up to more than the whole while groups of entries are cut off
    // from each other, and have been since they started.
    const retry_allowance allowed{0.9, 10s, 96.0};
    budget_fleet fleet{{.entries = 28, .per_second = 350.0, .allowed = allowed, .heard = 0.5}};
    fleet.run(30s, false);
    fleet.run(10s, true);
    CHECK(worst_excess(fleet.seen, allowed) <= 0.0);
}

TEST_CASE("most of the allowance can be used", "[retry_budget]")
{
    // Guards against requests that are given up though the deployment allows to send them again.
    const retry_allowance allowed{0.9, 10s, 52.0};
    budget_fleet fleet{{.allowed = allowed}};
    fleet.run(30s, false);
    fleet.run(10s, true);
    CHECK(worst_excess(fleet.seen, allowed) > -0.2 * (0.9 * 500.0 + 52.0));
}

TEST_CASE("a request of a quiet service is sent again", "[retry_budget]")
{
    // Guards against parts of a retry that expire one by one where requests are rare.
    for (const std::size_t entries : {1, 4, 390}) {
        INFO("entries " << entries);
        common::time_point now = start;
        std::mt19937_64 random{1};
        retry_budget budget{
            {.ratio = 0.9, .extra = 52.0},
            {[&now] { return now; },
             [&random] { return random(); },
             [entries] {
                 return entries;
             }}};
        int granted = 0;
        constexpr int requests = 200;
        for (int i = 0; i < requests; ++i) {
            now += 4s;
            budget.record_first_attempt();
            granted += budget.try_acquire_retry() ? 1 : 0;
        }
        CHECK(granted >= (entries < 10 ? requests * 95 / 100 : requests * 65 / 100));
    }
}

TEST_CASE("optional retries leave a part for required ones", "[retry_budget]")
{
    // Guards against answers of larger models that use up what cut streams need.
    common::time_point now = start;
    std::mt19937_64 random{1};
    retry_budget budget{
        {.ratio = 0.9, .extra = 0.0},
        {[&now] { return now; },
         [&random] {
             return random();
         }}};
    // At a steady rate; of these, 40 can still be used.
    for (int i = 0; i < 400; ++i) {
        now += 50ms;
        budget.record_first_attempt();
    }
    int optional = 0;
    for (int i = 0; i < 100; ++i) {
        optional += budget.try_acquire_retry(retry_need::optional) ? 1 : 0;
    }
    CHECK(optional >= 20);
    int required = 0;
    for (int i = 0; i < 100; ++i) {
        required += budget.try_acquire_retry() ? 1 : 0;
    }
    CHECK(required >= 5);
    CHECK(required + optional <= 36);
}

TEST_CASE("changed settings bring no retries", "[retry_budget]")
{
    // Guards against a settings file that is read again while the budget is used up.
    common::time_point now = start;
    std::mt19937_64 random{1};
    const retry_budget_settings settings{.ratio = 0.9, .extra = 52.0};
    retry_budget budget{
        settings,
        {[&now] { return now; },
         [&random] {
             return random();
         }}};
    now += 20s;
    budget.record_first_attempt();
    while (budget.try_acquire_retry()) {
    }
    for (int i = 0; i < 10; ++i) {
        budget.update_settings(settings);
        CHECK_FALSE(budget.try_acquire_retry());
        budget.update_settings(
            {.ratio = 0.9, .extra = 52.0, .window = std::chrono::seconds{5 + i}});
        CHECK_FALSE(budget.try_acquire_retry());
    }
}

} // namespace reedramp::placement::test
