#include <algorithm>
#include <functional>
#include <iostream>

#include <catch2/catch.hpp>

#include "crash_simulation.hpp"

namespace reedramp::router::testing {

namespace {

/// Entries in contact for this long know what the others have observed.
constexpr seconds contact{3};
/// Crashes under one part after which the operators allow `max_late` further arrivals.
constexpr std::size_t allowed_crashes = 5;
constexpr std::size_t max_late = 3;

/// Interval between the steps in which the tests send requests.
constexpr milliseconds between{50};

const std::string crashing_part = "f1";

/// Header with the parts of a prompt; the last one is the request's own.
auto prompt(const std::vector<std::string>& parts) -> request_options
{
    std::string value;
    for (const auto& part : parts) {
        value += part + ":100,";
    }
    value += "ffff:20";
    return {.headers = {{"Reedramp-Prompt-Parts", value}}};
}

/// Sends requests of two kinds. Those of a kind share their first part, and some of them the
/// second one as well; no two are alike.
struct request_mix {
    explicit request_mix(crash_simulation& simulation_to_use) : simulation(simulation_to_use)
    {
        this->simulation.crashing_parts = {crashing_part};
    }

    auto send_sound() -> void
    {
        constexpr std::uint64_t subjects = 20;
        const auto subject = this->simulation.random() % subjects;
        const auto first = subject % 2 == 0 ? "a1" : "a2";
        this->send("sound", {first, "b" + std::to_string(subject)});
    }

    /// Shares its caller and all its other parts with sound requests.
    auto send_crashing() -> void { this->send("crashing", {"a2", "b1", crashing_part}); }

    auto send(const std::string& name, const std::vector<std::string>& parts) -> void
    {
        this->sent += 1;
        this->simulation.ask_random_entry(name + std::to_string(this->sent), prompt(parts));
    }

    /// Sends `sound` requests twenty times a second, and a crashing one at each interval.
    auto
    run(milliseconds time, std::size_t sound, milliseconds crashing_every = milliseconds::max())
        -> void
    {
        for (auto played = milliseconds{0}; played < time; played += between) {
            for (std::size_t i = 0; i < sound; ++i) {
                this->send_sound();
            }
            this->since_crashing += between;
            if (this->since_crashing >= crashing_every) {
                this->since_crashing = milliseconds{0};
                this->send_crashing();
            }
            this->simulation.run(between);
        }
    }

    crash_simulation& simulation;
    std::size_t sent = 0;
    milliseconds since_crashing{0};
};

/// Part of the sound requests received in the interval that were served.
auto served_share(
    const crash_simulation& simulation, common::time_point from, common::time_point until) -> double
{
    std::size_t all = 0;
    std::size_t served = 0;
    for (const auto& one : simulation.requests) {
        if (one.cause.empty() && one.at >= from && one.at < until) {
            all += 1;
            served += one.out->is_finished ? 1 : 0;
        }
    }
    return all == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(all);
}

/// Sound or crashing requests that were refused as ones that crash servers.
auto refused(const crash_simulation& simulation, bool crashing) -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(simulation.requests, [crashing](const simulated_request& one) {
            return !one.cause.empty() == crashing && one.out->answer &&
                   one.out->answer->body.find("ends_servers") != std::string::npos;
        }));
}

} // namespace

/// Guards against servers that crash one after the other under different requests that share one
/// part of their prompts.
TEST_CASE(
    "a prompt part that crashes servers is soon barred at all entries", "[part_crash][!shouldfail]")
{
    for (const std::size_t entries : {1, 3, 4, 28}) {
        crash_simulation simulation{{.entries = entries}};
        request_mix mix{simulation};
        constexpr std::size_t sound = 2;
        mix.run(seconds{5}, sound);
        const auto began = simulation.now();
        mix.run(seconds{20}, sound, milliseconds{200});
        const auto fifth = simulation.crash_number(allowed_crashes, crashing_part);
        REQUIRE(fifth != common::never);
        const auto until = simulation.now();
        simulation.run(seconds{3});
        INFO(entries << " entries");
        CHECK(simulation.arrivals_after(crashing_part, fifth + contact) <= max_late);
        CHECK(refused(simulation, true) > 0);
        CHECK(refused(simulation, false) == 0);
        const auto before = served_share(simulation, began - seconds{4}, began);
        CHECK(served_share(simulation, fifth + 2 * contact, until) >= before / 2);
    }
}

} // namespace reedramp::router::testing
