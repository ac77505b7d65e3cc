#include <algorithm>
#include <functional>
#include <iostream>

#include <catch2/catch.hpp>

#include "crash_simulation.hpp"

namespace reedramp::router::testing {

namespace {

/// Sends different harmless requests, `at_once` of them twenty times per second.
auto send_harmless(crash_simulation& simulation, milliseconds time, std::size_t at_once = 1) -> void
{
    constexpr milliseconds between{50};
    for (auto played = milliseconds{0}; played < time; played += between) {
        for (std::size_t i = 0; i < at_once; ++i) {
            simulation.ask_random_entry("harmless " + std::to_string(simulation.requests.size()));
        }
        simulation.run(between);
    }
}

/// Requests at once that make servers busy with ten requests each, or leave them idle.
auto load_of(std::uint64_t seed) -> std::size_t
{
    constexpr std::size_t busy = 15;
    return seed % 3 == 1 ? busy : 1;
}

} // namespace

TEST_CASE("a request that crashes servers is soon barred at all entries", "[crash]")
{
    // One request crashes each server that starts it. Each of its sends is lost, so the entry sends
    // it to another server, and its caller retries with a new id at any entry. No attempt is sent
    // more often than allowed, but without a fingerprint of the contents nothing shows that two
    // attempts are the same request. Servers then crash faster than new ones start, 60 in a wave,
    // and over a tenth of all requests fail.
    for (const std::size_t entries : {1, 4, 26}) {
        crash_simulation simulation{{.entries = entries}};
        const auto body = crash_simulation::crashing_body("one");
        for (int second = 0; second < 20; ++second) {
            send_harmless(simulation, seconds{1});
            simulation.ask_random_entry(body);
            simulation.ask_random_entry(body);
        }
        const auto third = simulation.third_crash(body);
        REQUIRE(third != common::never);
        INFO(entries << " entries");
        CHECK(simulation.arrivals_after(body, third + contact) <= max_late);
        CHECK(simulation.refused(true) > 0);
        CHECK(simulation.refused(false) == 0);
    }
}

TEST_CASE("a request that crashes otherwise idle servers is found too", "[crash]")
{
    // On an idle server no other request is lost with it that could tell a crash from a broken
    // connection.
    crash_simulation simulation{{.entries = 4}};
    const auto body = crash_simulation::crashing_body("one");
    for (int second = 0; second < 20; ++second) {
        simulation.ask_random_entry(body);
        simulation.run(seconds{1});
    }
    const auto third = simulation.third_crash(body);
    REQUIRE(third != common::never);
    CHECK(simulation.arrivals_after(body, third + contact) <= max_late);
}

TEST_CASE("harmless requests on crashing servers are not refused", "[crash]")
{
    // Servers crash one after another for other reasons, or a whole rack at once. The same harmless
    // requests lose two, three and four of them, like a request that crashes servers. If barred for
    // that, they would never be served.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        crash_simulation simulation{{.entries = 4, .seed = seed}};
        for (int i = 0; i < 40; ++i) {
            send_harmless(simulation, milliseconds{250});
            const auto live_servers = simulation.live_servers();
            const auto crashing_body = i % 10 == 0 ? live_servers.size() / 3 : 1;
            for (std::size_t server = 0; server < crashing_body; ++server) {
                simulation.crash(live_servers[server]);
            }
        }
        INFO("seed " << seed);
        CHECK(simulation.refused(false) == 0);
    }
}

TEST_CASE("copies that arrive at once at several entries are counted together", "[crash]")
{
    // Three copies of a request arrive at once and then none for five seconds, so that servers
    // crash in twos and threes. If copies that arrive together counted only once, the next three
    // would be sent as well.
    for (const std::uint64_t seed : {1, 22}) {
        crash_simulation simulation{{.entries = 103, .loss = 0.02, .seed = seed}};
        const auto body = crash_simulation::crashing_body("one");
        for (int i = 0; i < 4; ++i) {
            simulation.ask_random_entry(body);
            simulation.ask_random_entry(body);
            simulation.ask_random_entry(body);
            send_harmless(simulation, seconds{5});
        }
        const auto third = simulation.third_crash(body);
        REQUIRE(third != common::never);
        INFO("seed " << seed);
        CHECK(simulation.arrivals_after(body, third + contact) <= max_late);
        CHECK(simulation.refused(false) == 0);
    }
}

TEST_CASE("a request that crashes servers stays barred whatever happens to entries", "[crash]")
{
    // While the request keeps coming, an entry is frozen, entries restart without state, and
    // servers return under their ids. Each of these could let the request be sent again.
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        crash_simulation simulation{
            {.entries = 26, .loss = 0.02, .seed = seed, .restarts_under_id = seed % 2 == 0}};
        const auto body = crash_simulation::crashing_body("one");
        const auto send_copies = [&simulation, &body](int times) {
            for (int i = 0; i < times; ++i) {
                send_harmless(simulation, milliseconds{500});
                simulation.ask_random_entry(body);
            }
        };
        simulation.fleet.entries[3]->is_frozen = true;
        send_copies(4);
        simulation.restart(5);
        send_copies(4);
        simulation.fleet.entries[3]->is_frozen = false;
        send_copies(4);
        simulation.restart(6);
        send_copies(8);
        const auto third = simulation.third_crash(body);
        REQUIRE(third != common::never);
        INFO("seed " << seed);
        CHECK(simulation.arrivals_after(body, third + contact) <= max_late);
        CHECK(simulation.refused(false) == 0);
    }
}

TEST_CASE("each kind of request that crashes servers is refused with the right result", "[crash]")
{
    // A request that must run once is sent once per attempt, so each copy crashes one server; a
    // stream is resumed after an event; a cascade starts with its small model. A request that has
    // not run is refused as such, with the time to return.
    const std::vector<request_options> kinds = {
        {.path = "/once/1"},
        {.path = "/again/1"},
        {.headers = {{"Last-Event-Id", "4"}}},
        {.headers = {{"Reedramp-Model", "*"}}}};
    for (const auto& how : kinds) {
        crash_simulation simulation{{.entries = 4}};
        const auto body = crash_simulation::crashing_body("one");
        for (int i = 0; i < 8; ++i) {
            simulation.ask_random_entry(body, how);
            send_harmless(simulation, seconds{1});
        }
        INFO(how.path << (how.headers.empty() ? "" : " " + how.headers.front().name));
        const auto last = simulation.ask_random_entry(body, how);
        CHECK(last->status() == 503);
        REQUIRE(last->answer);
        CHECK(last->answer->body.find("ends_servers") != std::string::npos);
        CHECK(http::find_header(last->answer->headers, "Retry-After") == "600.000");
        CHECK(simulation.arrivals_after(body, simulation.third_crash(body) + contact) <= max_late);
        // A request that has run, or may have, is not reported as not run.
        for (const auto& one : simulation.requests) {
            const bool has_run =
                std::ranges::any_of(simulation.sends, [&](const simulated_send& send) {
                    return send.body == body && send.attempt == one.attempt;
                });
            CHECK((one.body != body || !has_run || one.out->status() != 503));
        }
    }
}

TEST_CASE("a different organisation, path or body makes a different request", "[crash]")
{
    crash_simulation simulation{{.entries = 4}};
    const auto body = crash_simulation::crashing_body("one");
    for (int i = 0; i < 4; ++i) {
        simulation.ask_random_entry(body);
        send_harmless(simulation, seconds{1});
    }
    REQUIRE(simulation.ask(0, body)->status() == 503);
    const auto before = simulation.sends.size();
    simulation.ask(0, body, {.key = "key-of-other"});
    simulation.ask(1, body, {.path = "/stream/2"});
    simulation.ask(2, crash_simulation::crashing_body("two"));
    simulation.run(milliseconds{10});
    CHECK(simulation.sends.size() == before + 3);
    // Another key of the same organisation is the same caller.
    CHECK(simulation.ask(3, body, {.key = "key-2"})->status() == 503);
}

/// Run by hand: totals over many seeds.
TEST_CASE("a request that crashes servers among harmless ones, over many seeds", "[.crash_seeds]")
{
    constexpr std::uint64_t seeds = 75;
    for (const std::size_t entries : {1, 4, 26, 103}) {
        std::size_t harmless_refused = 0;
        std::size_t late = 0;
        std::size_t most_after = 0;
        milliseconds known_after{0};
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            crash_simulation simulation{{.entries = entries, .loss = 0.02, .seed = seed}};
            const auto body = crash_simulation::crashing_body("one");
            for (int second = 0; second < 12; ++second) {
                send_harmless(simulation, seconds{1}, load_of(seed));
                for (std::uint64_t copies = simulation.random() % 4; copies > 0; --copies) {
                    simulation.ask_random_entry(body);
                }
            }
            const auto third = simulation.third_crash(body);
            harmless_refused += simulation.refused(false);
            late += simulation.arrivals_after(body, third + contact);
            most_after = std::max(most_after, simulation.arrivals_after(body, third));
            const auto known = simulation.barred_everywhere_at(body);
            known_after =
                std::max(known_after, std::chrono::duration_cast<milliseconds>(known - third));
        }
        const auto at = std::to_string(entries);
        std::cout << "METRIC harmless_refused_" << at << " " << harmless_refused << " requests\n"
                  << "METRIC late_arrivals_" << at << " " << late << " sends\n"
                  << "METRIC most_arrivals_after_third_" << at << " " << most_after << " sends\n"
                  << "METRIC known_to_all_after_" << at << " " << known_after.count() << " ms\n";
        CHECK(harmless_refused == 0);
        CHECK(late == 0);
    }
}

/// Run by hand: totals over many seeds.
TEST_CASE(
    "harmless requests while servers crash for other reasons, over many seeds", "[.crash_seeds]")
{
    for (const auto& one : independent_faults()) {
        std::size_t barred = 0;
        std::size_t requests = 0;
        for (std::uint64_t seed = 1; seed <= 75; ++seed) {
            crash_simulation simulation{
                {.entries = seed % 3 == 0 ? 26U : 4U,
                 .loss = 0.02,
                 .seed = seed,
                 .restarts_under_id = seed % 2 == 0}};
            for (int round = 0; round < 40; ++round) {
                send_harmless(simulation, milliseconds{400}, load_of(seed));
                one.apply(simulation, round);
            }
            barred += simulation.refused(false);
            requests += simulation.requests.size();
        }
        std::cout << "METRIC harmless_refused_" << one.name << " " << barred << " requests of "
                  << requests << "\n";
        CHECK(barred == 0);
    }
}

/// Run by hand. Compares the harmless requests served with and without a request that crashes
/// servers.
TEST_CASE("harmless requests beside one that crashes servers, over many seeds", "[.crash_seeds]")
{
    const auto served = [](const crash_simulation& simulation) {
        const auto count =
            std::ranges::count_if(simulation.requests, [](const simulated_request& one) {
                return !one.body.starts_with(crash_simulation::crashing_body("")) &&
                       one.out->is_finished;
            });
        const auto all =
            std::ranges::count_if(simulation.requests, [](const simulated_request& one) {
                return !one.body.starts_with(crash_simulation::crashing_body(""));
            });
        return static_cast<double>(count) / static_cast<double>(all);
    };
    double with = 0.0;
    double without = 0.0;
    constexpr std::uint64_t seeds = 75;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const bool comes : {true, false}) {
            crash_simulation simulation{{.entries = 4, .servers = 24, .loss = 0.02, .seed = seed}};
            for (int second = 0; second < 20; ++second) {
                send_harmless(simulation, seconds{1}, load_of(seed));
                if (comes) {
                    simulation.ask_random_entry(crash_simulation::crashing_body("one"));
                }
            }
            simulation.run(seconds{3});
            (comes ? with : without) += served(simulation) / static_cast<double>(seeds);
        }
    }
    std::cout << "METRIC harmless_served_beside " << with << " ratio\n"
              << "METRIC harmless_served_alone " << without << " ratio\n";
    CHECK(with >= without - 0.02);
}

} // namespace reedramp::router::testing
