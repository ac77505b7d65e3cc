#include <algorithm>
#include <functional>
#include <iostream>

#include <catch2/catch.hpp>

#include "crash_simulation.hpp"
#include "placement/affinity.hpp"

namespace reedramp::router::testing {

namespace {

/// Crashes under one part after which the operators allow `max_late` further arrivals.
constexpr std::size_t allowed_crashes = 5;

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

} // namespace

/// Guards against servers that crash one after the other under different requests that share one
/// part of their prompts.
TEST_CASE("a prompt part that crashes servers is soon barred at all entries", "[part_crash]")
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
        CHECK(simulation.refused(true) > 0);
        CHECK(simulation.refused(false) == 0);
        const auto before = served_share(simulation, began - seconds{4}, began);
        CHECK(served_share(simulation, fifth + 2 * contact, until) >= before / 2);
    }
}

/// Guards against refusing an organisation's requests because another one names their parts on
/// requests that crash servers.
TEST_CASE("a part that is served is not barred, whoever names it", "[part_crash]")
{
    crash_simulation simulation{{.entries = 3}};
    request_mix mix{simulation};
    mix.run(seconds{5}, 2);
    for (int second = 0; second < 10; ++second) {
        // The same parts as a harmless subject's, on bodies that crash servers.
        for (int i = 0; i < 3; ++i) {
            mix.sent += 1;
            auto how = prompt({"a2", "b1"});
            how.key = "key-of-other";
            simulation.ask_random_entry(
                crash_simulation::crashing_body(std::to_string(mix.sent)), how);
        }
        mix.send("sound", {"a2", "b1"});
        mix.run(seconds{1}, 2);
    }
    simulation.run(seconds{2});
    CHECK(simulation.refused(false) == 0);
    const auto last = simulation.ask(0, "sound", prompt({"a2", "b1"}));
    simulation.run(seconds{2});
    CHECK(last->is_finished);
}

/// Guards against new processes that let a barred part crash servers again.
TEST_CASE("a barred part stays barred while entries restart", "[part_crash]")
{
    crash_simulation simulation{{.entries = 4, .loss = 0.02, .restarts_under_id = true}};
    request_mix mix{simulation};
    mix.run(seconds{5}, 2);
    mix.run(seconds{4}, 2, milliseconds{200});
    const auto fifth = simulation.crash_number(allowed_crashes, crashing_part);
    REQUIRE(fifth != common::never);
    for (const std::size_t entry : {0, 1, 2, 3}) {
        simulation.restart(entry);
        mix.run(seconds{1}, 2, milliseconds{200});
    }
    CHECK(simulation.arrivals_after(crashing_part, fifth + contact) <= max_late);
    CHECK(simulation.refused(false) == 0);
}

/// Guards against a bar that operators lift at one entry and that its peers or the evidence
/// restore.
TEST_CASE("a bar lifted at one entry is lifted at all", "[part_crash]")
{
    crash_simulation simulation{{.entries = 4}};
    request_mix mix{simulation};
    mix.run(seconds{5}, 2);
    mix.run(seconds{4}, 2, milliseconds{200});
    const auto bars = [&simulation] {
        return std::ranges::count_if(simulation.fleet.entries, [](const auto& one) {
            return one->own.core->crashes.has_barred_parts();
        });
    };
    REQUIRE(bars() == 4);
    auto& first = simulation.fleet.entries.front()->own.core->crashes;
    for (const auto& state : first.states(simulation.now())) {
        CHECK(first.lift(state.report.fingerprint, simulation.now()));
    }
    mix.run(seconds{1}, 2);
    CHECK(bars() == 0);
    mix.run(seconds{3}, 2);
    CHECK(bars() == 0);
    // The engine is still not mended.
    mix.run(seconds{4}, 2, milliseconds{200});
    CHECK(bars() == 4);
}

/// Guards against copies that wait at a server, and crash it after their part was barred.
TEST_CASE("a request that waits is withdrawn when its part is barred", "[part_crash]")
{
    router_fixture fixture;
    const auto parts = std::vector<http::header>{{"Reedramp-Prompt-Parts", "a1:10,f1:10,77:5"}};
    const auto out = fixture.ask("/stream/1", parts);
    const auto begun = fixture.ask("/stream/1", parts);
    REQUIRE(fixture.sends() == 2);
    fixture.client->sent.back()->head(200);
    const auto service =
        routing::barred_parts{placement::affinity_hash("engines"), {routing::part_id{0xf1}}};
    fixture.core->apply_barred_report(
        {fingerprint_of(service), milliseconds{0}, milliseconds{0}, false, service}, "peer");
    CHECK(fixture.client->sent.front()->is_cancelled);
    CHECK(!fixture.client->sent.back()->is_cancelled);
    // It may have run.
    CHECK(out->status() == 502);
    CHECK(begun->status() == 0);
    // A new one has not run.
    const auto next = fixture.ask("/stream/1", parts);
    CHECK(fixture.sends() == 2);
    CHECK(next->status() == 503);
    REQUIRE(next->answer);
    CHECK(http::find_header(next->answer->headers, "Retry-After") == "600.000");
    // Harmless requests share its first part.
    fixture.ask("/stream/1", {{"Reedramp-Prompt-Parts", "a1:10,77:5"}});
    CHECK(fixture.sends() == 3);
}

/// Guards against barring shared and rare parts while servers crash for other reasons. The long
/// run of many seeds is by hand.
TEST_CASE("no part is barred while a third of the servers crashes", "[part_crash]")
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        crash_simulation simulation{{.entries = 4, .loss = 0.02, .seed = seed}};
        request_mix mix{simulation};
        for (int round = 0; round < 20; ++round) {
            mix.run(milliseconds{400}, 4);
            const auto live_servers = simulation.live_servers();
            const auto crashing = round % 8 == 0 ? live_servers.size() / 3 : 1;
            for (std::size_t i = 0; i < crashing; ++i) {
                simulation.crash(live_servers[i]);
            }
        }
        INFO("seed " << seed);
        CHECK(simulation.refused(false) == 0);
    }
}

/// Run by hand: totals over many seeds, for parts that come often, rarely, and with one in three
/// requests.
TEST_CASE("a prompt part that crashes servers, over many seeds", "[.part_crash_seeds]")
{
    struct load {
        const char* name;
        std::size_t sound;
        milliseconds crashing_every;
    };

    const std::vector<load> loads = {
        {"often", 2, milliseconds{200}},
        {"rarely", 2, milliseconds{2000}},
        {"busy", 8, milliseconds{200}},
        {"third", 2, milliseconds{50}}};
    constexpr std::uint64_t seeds = 25;
    for (const std::size_t entries : {1, 3, 28}) {
        for (const auto& one : loads) {
            std::size_t late = 0;
            std::size_t plans_late = 0;
            std::size_t harmless_refused = 0;
            std::size_t crashes = 0;
            double served = 0.0;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                crash_simulation simulation{{.entries = entries, .loss = 0.02, .seed = seed}};
                request_mix mix{simulation};
                mix.run(seconds{3}, one.sound);
                mix.run(seconds{16}, one.sound, one.crashing_every);
                const auto fifth = simulation.crash_number(allowed_crashes, crashing_part);
                const auto late_now = simulation.arrivals_after(crashing_part, fifth + contact);
                late += late_now;
                plans_late += late_now > max_late ? 1 : 0;
                harmless_refused += simulation.refused(false);
                crashes += simulation.crashes_of(crashing_part);
                const auto until = simulation.now();
                simulation.run(seconds{3});
                served += served_share(simulation, fifth + 2 * contact, until) /
                          static_cast<double>(seeds);
            }
            const auto at = std::string{one.name} + "_" + std::to_string(entries);
            std::cout << "METRIC late_arrivals_" << at << " " << late << " sends\n"
                      << "METRIC plans_late_" << at << " " << plans_late << " plans\n"
                      << "METRIC harmless_refused_" << at << " " << harmless_refused
                      << " requests\n"
                      << "METRIC crashes_" << at << " "
                      << static_cast<double>(crashes) / static_cast<double>(seeds) << " servers\n"
                      << "METRIC harmless_served_" << at << " " << served << " ratio\n";
            CHECK(plans_late == 0);
            CHECK(harmless_refused == 0);
        }
    }
}

/// Run by hand: totals over many seeds. Guards against barring parts that thousands of requests
/// share, and rare ones, while servers crash for other reasons.
TEST_CASE(
    "no part is barred while servers crash for other reasons, over many seeds",
    "[.part_crash_seeds]")
{
    auto faults = independent_faults();
    faults.push_back({"power", [](crash_simulation& simulation, int round) {
                          for (const auto& server : simulation.live_servers()) {
                              if (round % 12 == 0) {
                                  simulation.crash(server);
                              }
                          }
                      }});
    faults.push_back(
        {"in_waves", [](crash_simulation& simulation, int round) {
             const auto live_servers = simulation.live_servers();
             for (std::size_t i = 0; round % 20 < 8 && i < 2 && i < live_servers.size(); ++i) {
                 simulation.crash(live_servers[(simulation.random() + i) % live_servers.size()]);
             }
         }});
    for (const auto& one : faults) {
        std::size_t barred = 0;
        std::size_t sets = 0;
        std::size_t requests = 0;
        for (std::uint64_t seed = 1; seed <= 75; ++seed) {
            crash_simulation simulation{
                {.entries = seed % 3 == 0 ? 28U : 4U,
                 .loss = 0.02,
                 .seed = seed,
                 .restarts_under_id = seed % 2 == 0}};
            request_mix mix{simulation};
            const std::size_t sound = seed % 3 == 1 ? 15 : 2;
            for (int round = 0; round < 40; ++round) {
                mix.run(milliseconds{400}, sound);
                one.apply(simulation, round);
            }
            barred += simulation.refused(false);
            sets += simulation.fleet.entries.front()->own.core->crashes.has_barred_parts() ? 1 : 0;
            requests += simulation.requests.size();
        }
        std::cout << "METRIC harmless_refused_" << one.name << " " << barred << " requests of "
                  << requests << ", plans with barred parts " << sets << "\n";
        CHECK(barred == 0);
        CHECK(sets == 0);
    }
}

} // namespace reedramp::router::testing
