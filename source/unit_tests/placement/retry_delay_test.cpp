#include "placement/retry_budget.hpp"

#include <algorithm>
#include <functional>
#include <initializer_list>
#include <memory>
#include <random>
#include <utility>
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

struct delay_options {
    std::size_t entries = 3;
    /// Requests per second to the service, over all entries.
    double per_second = 170.0;
    retry_allowance allowed{0.9, 10s, 52.0};
    std::uint64_t seed = 1;
    /// Requests that an entry reads per second at most; a backlog is read no faster.
    double reads_per_second = 2000.0;
    /// Time limit of requests.
    common::duration limit = 20s;
};

/// Budgets of entries whose requests are read late, and whose retries arrive late. Requests count
/// when callers send them, retries when servers receive them. All servers fail, and callers want
/// every retry that is granted.
class delayed_fleet {
public:
    explicit delayed_fleet(const delay_options& wanted)
        : random(wanted.seed), options(wanted), entries(wanted.entries)
    {
        this->restart_all();
    }

    auto restart_all() -> void
    {
        for (auto& one : this->entries) {
            one.budget = this->make_process();
            // Callers' connections end with the process.
            one.unread = 0;
            one.process += 1;
        }
    }

    /// Nothing reaches the entries until `resume`, because they stand still or their links do.
    auto stop(double share = 1.0) -> void
    {
        const auto count = static_cast<double>(this->entries.size()) * share;
        for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i) {
            this->entries[i].is_stopped = true;
        }
    }

    auto resume() -> void
    {
        for (auto& one : this->entries) {
            one.is_stopped = false;
        }
    }

    /// Servers receive nothing until `resume_servers`.
    auto stop_servers() -> void { this->are_servers_stopped = true; }

    auto resume_servers() -> void
    {
        this->are_servers_stopped = false;
        for (const auto& one : std::exchange(this->on_the_way, {})) {
            this->arrive(one);
        }
    }

    auto run(common::duration time, double factor = 1.0) -> void
    {
        for (const auto until = this->now + time; this->now < until; this->now += step) {
            this->send(factor);
            for (auto& one : this->entries) {
                if (!one.is_stopped) {
                    this->read(one);
                    this->retry(one);
                }
            }
        }
    }

    /// Runs for a random time of at least `least` and less than `limit`.
    auto run_random(std::chrono::milliseconds least, std::chrono::milliseconds limit) -> void
    {
        const auto range = static_cast<std::uint64_t>((limit - least).count());
        this->run(least + std::chrono::milliseconds{this->random() % range});
    }

    [[nodiscard]] auto excess() const -> double
    {
        return worst_excess(this->seen, this->options.allowed);
    }

    service_history seen;
    std::mt19937_64 random;
    common::time_point now = start;

private:
    struct entry {
        std::unique_ptr<retry_budget> budget;
        bool is_stopped = false;
        /// Requests that have been sent to it and not read.
        double unread = 0.0;
        /// Part of a request that may be read in addition.
        double readable = 0.0;
        std::size_t process = 0;
    };

    /// A retry that has been sent.
    struct sent_retry {
        entry* by = nullptr;
        std::size_t process = 0;
        retry_permit permit;
    };

    auto make_process() -> std::unique_ptr<retry_budget>
    {
        const auto& allowed = this->options.allowed;
        return std::make_unique<retry_budget>(
            retry_budget_settings{allowed.ratio, allowed.extra, allowed.window},
            retry_budget_hooks{
                [this] { return this->now; },
                [this] { return this->random(); },
                [this] {
                    return this->entries.size();
                }});
    }

    auto send(double factor) -> void
    {
        const auto seconds = std::chrono::duration<double>(step).count();
        std::poisson_distribution arrivals{this->options.per_second * factor * seconds};
        for (auto left = arrivals(this->random); left > 0; --left) {
            this->seen.requests.push_back(this->now);
            this->entries[this->random() % this->entries.size()].unread += 1.0;
        }
    }

    auto read(entry& one) -> void
    {
        const auto seconds = std::chrono::duration<double>(step).count();
        one.readable += this->options.reads_per_second * seconds;
        for (; one.unread >= 1.0 && one.readable >= 1.0; one.unread -= 1.0) {
            one.readable -= 1.0;
            one.budget->record_first_attempt();
        }
        one.readable = std::min(one.readable, 1.0);
    }

    auto retry(entry& one) -> void
    {
        // Each denied one may have used up a part of a retry: the next finds less.
        for (int denied = 0; denied < 3;) {
            const auto permit = one.budget->try_acquire_retry(
                retry_need::required, this->now + this->options.limit);
            if (!permit) {
                ++denied;
                continue;
            }
            this->on_the_way.push_back({&one, one.process, *permit});
        }
        if (!this->are_servers_stopped) {
            this->resume_servers();
        }
    }

    auto arrive(const sent_retry& one) -> void
    {
        this->seen.repeats.push_back(this->now);
        if (one.by->process == one.process) {
            one.by->budget->note_arrived(one.permit);
        }
    }

    delay_options options;
    std::vector<entry> entries;
    std::vector<sent_retry> on_the_way;
    bool are_servers_stopped = false;
};

/// A deployment with `entries`: more entries have more callers, and a larger extra.
auto delay_options_for(std::size_t entries, std::uint64_t seed) -> delay_options
{
    const auto count = static_cast<double>(entries);
    const auto extra = entries > 3 ? 2.0 * count + 40.0 : 52.0;
    return {
        .entries = entries,
        .per_second = 50.0 + 12.0 * count,
        .allowed = {0.9, 10s, extra},
        .seed = seed};
}

/// Runs one deployment, then several stops, each as `stop` does it.
auto check_stops(
    const delay_options& options,
    int stops,
    const std::function<auto(delayed_fleet& fleet)->void>& stop) -> void
{
    INFO("entries " << options.entries << ", seed " << options.seed);
    delayed_fleet fleet{options};
    fleet.run(12s);
    for (int i = 0; i < stops; ++i) {
        stop(fleet);
    }
    CHECK(fleet.excess() <= 0.0);
}

/// The same for deployments with so many entries, each with three seeds.
auto check_deployments(
    std::initializer_list<std::size_t> entries,
    const std::function<auto(delayed_fleet& fleet)->void>& stop) -> void
{
    constexpr int stops = 6;
    for (const auto count : entries) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            check_stops(delay_options_for(count, seed), stops, stop);
        }
    }
}

} // namespace

// Guards against retries beyond the allowance because what waited for entries that stood still
// earns when it is read, beside the requests of that time.
TEST_CASE("entries that stood still keep the deployment's allowance", "[retry_budget]")
{
    check_deployments({1, 3, 28, 103}, [](delayed_fleet& fleet) {
        fleet.stop();
        fleet.run_random(1500ms, 8000ms);
        fleet.resume();
        fleet.run_random(1000ms, 15000ms);
        if (fleet.random() % 3 == 0) {
            fleet.restart_all();
            fleet.run_random(500ms, 3500ms);
        }
    });
}

// Guards against retries beyond the allowance because servers that stood still receive those of
// several windows at once, also those that entries had given up.
TEST_CASE("servers that stood still receive no more than the allowance", "[retry_budget]")
{
    check_deployments({1, 3, 28, 103}, [](delayed_fleet& fleet) {
        fleet.stop_servers();
        fleet.run_random(1500ms, 11000ms);
        fleet.resume_servers();
        fleet.run_random(200ms, 14200ms);
    });
}

// Guards against the sum of both delays, where each alone keeps the allowance.
TEST_CASE("entries and servers that stand still in turn keep the allowance", "[retry_budget]")
{
    check_deployments({1, 3, 28}, [](delayed_fleet& fleet) {
        fleet.stop_servers();
        fleet.run_random(500ms, 5000ms);
        fleet.stop();
        fleet.run_random(500ms, 5000ms);
        if (fleet.random() % 2 == 0) {
            fleet.resume();
            fleet.run_random(0ms, 3000ms);
        }
        fleet.resume_servers();
        fleet.resume();
        fleet.run_random(200ms, 12200ms);
    });
}

// Guards against a backlog that a slow link or a busy entry hands over little by little, and that
// therefore looks like more callers.
TEST_CASE("a backlog that is read slowly keeps the allowance", "[retry_budget]")
{
    constexpr int stops = 4;
    for (const double speed : {1.1, 1.3, 1.6, 2.5}) {
        INFO("read at " << speed << " times the usual rate");
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            auto options = delay_options_for(3, seed);
            options.reads_per_second = speed * options.per_second / 3.0;
            check_stops(options, stops, [](delayed_fleet& fleet) {
                fleet.stop();
                fleet.run_random(1500ms, 5000ms);
                fleet.resume();
                fleet.run_random(1000ms, 20000ms);
            });
        }
    }
}

namespace {

/// Stops, backlogs and restarts in a random series, each of up to 8 s.
auto run_series(delayed_fleet& fleet, bool with_restarts, bool with_servers) -> void
{
    fleet.run(std::chrono::milliseconds{fleet.random() % 12000});
    for (int event = 0; event < 30; ++event) {
        const auto length = std::chrono::milliseconds{200 + fleet.random() % 7800};
        switch (fleet.random() % 4) {
        case 0:
            fleet.stop(fleet.random() % 2 == 0 ? 1.0 : 0.5);
            break;
        case 1:
            if (with_servers) {
                fleet.stop_servers();
            }
            break;
        case 2:
            if (with_restarts) {
                fleet.restart_all();
            }
            break;
        default:
            break;
        }
        fleet.run(length);
        fleet.resume();
        fleet.resume_servers();
    }
}

/// The most retries beyond the allowance in any of many such series.
auto worst_of_series(bool with_restarts, bool with_servers) -> double
{
    double worst = 0.0;
    for (const std::size_t entries : {1, 3, 28}) {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            auto options = delay_options_for(entries, seed);
            const auto speed = 1.2 + static_cast<double>(seed % 7);
            options.reads_per_second = speed * options.per_second / static_cast<double>(entries);
            delayed_fleet fleet{options};
            run_series(fleet, with_restarts, with_servers);
            UNSCOPED_INFO(
                "entries " << entries << ", seed " << seed << ": " << fleet.excess() << " beyond");
            worst = std::max(worst, fleet.excess());
        }
    }
    return worst;
}

} // namespace

// Run by hand. Guards against series of stops and restarts that no case above has.
TEST_CASE("requests that are read late keep the allowance, over many seeds", "[.retry_delays]")
{
    CHECK(worst_of_series(true, false) <= 0.0);
}

// Run by hand. Guards against series of stops on both sides that no case above has.
TEST_CASE("delays on both sides keep the allowance, over many seeds", "[.retry_delays]")
{
    CHECK(worst_of_series(false, true) <= 0.0);
}

// Run by hand. Guards against new processes that know nothing of retries which are still on their
// way from the ones before.
TEST_CASE("restarts beside servers that stood still keep the allowance", "[.retry_delays]")
{
    CHECK(worst_of_series(true, true) <= 0.0);
}

} // namespace reedramp::placement::test
