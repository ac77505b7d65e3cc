#include <catch2/catch.hpp>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>

#include "schedule.hpp"

/// Checks the product's guarantees under random loss, delay, duplication, pauses, restarts, log
/// outages, drains, withdrawals and concurrent changes by operators. Each seed gives one schedule;
/// a failure prints its seed.
namespace reedramp::whole_path {

namespace {

constexpr std::uint64_t default_schedules = 500;
constexpr std::uint64_t ci_schedules = 2000;
constexpr std::uint64_t first_soak_seed = 100'001;
constexpr std::uint64_t max_mutation_schedules = 400;

auto number_from(const char* name, std::uint64_t default_value) -> std::uint64_t
{
    const auto* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? default_value : std::stoull(text);
}

struct mutation_case {
    mutation fault;
    promise breaks;
};

auto breaks_promise(const mutation_case& item) -> bool
{
    for (std::uint64_t seed = 1; seed <= max_mutation_schedules; ++seed) {
        schedule drawn(seed, item.fault);
        for (const auto& fault : drawn.run()) {
            if (fault.which == item.breaks) {
                return true;
            }
        }
    }
    return false;
}

/// Runs schedules with consecutive seeds from `first` while `should_continue(count)` is true, where
/// `count` is the number of schedules that have run.
auto check_from(
    std::uint64_t first, const std::function<auto(std::uint64_t count)->bool>& should_continue)
    -> void
{
    std::uint64_t count = 0;
    std::uint64_t violations = 0;
    std::uint64_t answered = 0;
    for (; should_continue(count); ++count) {
        const auto seed = first + count;
        schedule drawn(seed);
        for (const auto& fault : drawn.run()) {
            ++violations;
            std::cout << "seed " << seed << " promise " << static_cast<int>(fault.which) << ": "
                      << fault.what << "\n";
        }
        answered += drawn.answered();
    }
    std::cout << "seeds " << first << " to " << first + count - 1 << ", calls answered " << answered
              << "\nMETRIC promise_schedules_checked " << count << " schedules\n"
              << "METRIC promise_violations " << violations << " violations\n";
    CHECK(violations == 0);
    CHECK(answered > count);
}

} // namespace

TEST_CASE("promises: hold in every schedule", "[schedules]")
{
    const auto wanted = number_from("REEDRAMP_SCHEDULES", default_schedules);
    check_from(
        number_from("REEDRAMP_FIRST_SEED", 1), [wanted](auto count) { return count < wanted; });
}

TEST_CASE("promises: figures of all schedules of CI", "[.bench]")
{
    check_from(1, [](auto count) { return count < ci_schedules; });
}

TEST_CASE("promises: hold in all schedules of a time", "[.soak]")
{
    // The real clock only limits how long the test runs; schedules don't depend on it.
    const std::chrono::seconds span(number_from("REEDRAMP_SOAK_SECONDS", 60));
    const auto end = std::chrono::steady_clock::now() + span;
    check_from(number_from("REEDRAMP_FIRST_SEED", first_soak_seed), [end](auto) {
        return std::chrono::steady_clock::now() < end;
    });
}

TEST_CASE("promises: each check fails when its promise is broken", "[mutations]")
{
    const auto item = GENERATE(
        mutation_case{mutation::unrestricted_versions, promise::allowed_only},
        mutation_case{mutation::stale_configuration, promise::nothing_new_on_withdrawn},
        mutation_case{mutation::wrong_session_version, promise::session_keeps_version},
        mutation_case{mutation::duplicated_bill, promise::billed_once},
        mutation_case{mutation::swapped_answer, promise::whole_own_answer},
        mutation_case{mutation::unrecorded_refusal, promise::not_run_is_true},
        mutation_case{mutation::reused_incarnation, promise::at_most_once},
        mutation_case{mutation::ignored_drain, promise::nothing_new_on_leaving},
        mutation_case{mutation::immediate_shutdown, promise::shutdown_cuts_nothing},
        mutation_case{mutation::configuration_rollback, promise::configuration_only_forward});
    INFO("promise " << static_cast<int>(item.breaks));
    CHECK(breaks_promise(item));
}

} // namespace reedramp::whole_path
