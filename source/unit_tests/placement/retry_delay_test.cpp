#include "placement/retry_budget.hpp"

#include <algorithm>
#include <deque>
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

struct delay_options {
    std::size_t entries = 3;
    /// Requests per second to the service, over all entries.
    double per_second = 170.0;
    retry_allowance allowed{0.9, 10s, 52.0};
    std::uint64_t seed = 1;
    /// Requests that an entry reads per second at most; a backlog is read no faster.
    double reads_per_second = 2000.0;
};

/// Budgets of entries whose requests are read late. Requests count when callers send them, retries
/// when they are granted. All servers fail, and callers want every retry that is granted.
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
            if (one.budget->try_acquire_retry()) {
                this->seen.repeats.push_back(this->now);
            }
            else {
                ++denied;
            }
        }
    }

    delay_options options;
    std::vector<entry> entries;
};

} // namespace

// Guards against retries beyond the allowance because what waited for entries that stood still
// earns when it is read, beside the requests of that time.
TEST_CASE("entries that stood still keep the deployment's allowance", "[retry_budget]")
{
    for (const std::size_t entries : {1, 3, 28, 103}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            INFO("entries " << entries << ", seed " << seed);
            const auto extra = entries > 3 ? 2.0 * static_cast<double>(entries) + 40.0 : 52.0;
            delayed_fleet fleet{
                {.entries = entries,
                 .per_second = 50.0 + 12.0 * static_cast<double>(entries),
                 .allowed = {0.9, 10s, extra},
                 .seed = seed}};
            fleet.run(12s);
            for (int stops = 0; stops < 6; ++stops) {
                fleet.stop();
                fleet.run(std::chrono::milliseconds{1500 + fleet.random() % 6500});
                fleet.resume();
                fleet.run(std::chrono::milliseconds{1000 + fleet.random() % 14000});
                if (fleet.random() % 3 == 0) {
                    fleet.restart_all();
                    fleet.run(std::chrono::milliseconds{500 + fleet.random() % 3000});
                }
            }
            CHECK(fleet.excess() <= 0.0);
        }
    }
}

} // namespace reedramp::placement::test
