#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "response_simulation.hpp"
#include "router/relay.hpp"

namespace reedramp::router::testing {

namespace {

/// Time from the first response that states a limit until it must be observed.
constexpr seconds contact{3};
/// Responses more recent than this bind no entry yet.
constexpr milliseconds in_transit_time{500};
constexpr milliseconds window{4000};

/// Requests that a server with this limit can serve in about four seconds.
auto capacity_of(double per_second) -> std::size_t
{
    constexpr double excess = 1.5;
    constexpr double slack = 5.0;
    return static_cast<std::size_t>(excess * per_second * 4.0 + slack);
}

/// Servers that state limits in all responses, by name.
using limits_by_name = std::map<std::string, double>;

auto state_limits(response_simulation& simulation, const limits_by_name& limits) -> void
{
    simulation.respond = [limits](const arrival& one) {
        server_response response;
        if (const auto found = limits.find(one.server); found != limits.end()) {
            response.headers = {{"Reedramp-Server-Limit", std::to_string(found->second)}};
        }
        return response;
    };
}

/// Maximum number of requests in four seconds from entries that had received the limit in a
/// response.
auto most_after_response(
    const response_simulation& simulation, const std::string& server, common::time_point stated_at)
    -> std::size_t
{
    return simulation.max_count_within(
        server, window, stated_at + contact, [&](const arrival& one) {
            return simulation.had_response(one, one.at - in_transit_time);
        });
}

} // namespace

TEST_CASE("a server that states its limit gets no more from all entries together", "[limits]")
{
    // Guards against requests beyond the limit that a server has stated.
    for (const std::size_t entries : {1, 3, 27, 103}) {
        response_simulation simulation{{.entries = entries, .loss = 0.02}};
        simulation.run(seconds{2});
        const limits_by_name limits{{"s-0", 1.0}, {"s-1", 2.7}, {"s-2", 0.0}};
        state_limits(simulation, limits);
        const auto stated_at = simulation.now();
        simulation.run(seconds{20});
        for (const auto& [server, limit] : limits) {
            const auto most = simulation.max_count_within(server, window, stated_at + contact);
            std::cout << "METRIC limit_most_in_4s_" << entries << "_at_" << limit << " " << most
                      << " requests\n";
            INFO(entries << " entries, " << limit << " a second");
            CHECK(most_after_response(simulation, server, stated_at) <= capacity_of(limit));
            CHECK(most <= capacity_of(limit));
        }
        CHECK(simulation.with_status(503) == 0);
    }
}

TEST_CASE("with limits at all servers each gets nearly its limit, and no more", "[limits]")
{
    // Guards against limits that are exceeded, or left unused, under full load.
    for (const std::size_t entries : {1, 3, 27}) {
        response_simulation simulation{
            {.entries = entries, .servers = 6, .per_second = 100, .loss = 0.02}};
        limits_by_name limits;
        for (std::size_t i = 0; i < 6; ++i) {
            limits[simulation.server_name(i)] = i < 3 ? 2.0 : 5.0;
        }
        state_limits(simulation, limits);
        simulation.run(seconds{2});
        const auto stated_at = simulation.now();
        constexpr seconds time{20};
        simulation.run(contact + time);
        double used = 0.0;
        for (const auto& [server, limit] : limits) {
            INFO(entries << " entries, " << server << ", " << limit << " a second");
            CHECK(
                simulation.max_count_within(server, window, stated_at + contact) <=
                capacity_of(limit));
            used += static_cast<double>(simulation.arrivals_at(server, stated_at + contact));
        }
        constexpr double taken_together = 21.0;
        const double part = used / (taken_together * static_cast<double>(time.count()));
        std::cout << "METRIC limit_used_" << entries << " " << part << " parts\n";
        CHECK(part >= 0.6);
        // The other callers are refused with a time to return.
        CHECK(simulation.with_status(503) > 0);
    }
}

TEST_CASE("a limit that one entry learns is soon known to all", "[limits]")
{
    // Guards against entries that observe a limit only once they get it in a response themselves.
    for (const std::size_t entries : {4, 27, 103, 390}) {
        entry_fleet fleet{{.entries = entries, .loss = 0.02}};
        fleet.run(contact);
        const routing::server_instance server{common::server_id{"a"}};
        const auto knows = [&server](const auto& one) {
            return one->own.core->limiter.limits().per_second(server).has_value();
        };
        server_directives response;
        response.limit = 2.0;
        fleet.entries.front()->own.core->apply_limit(server, response, "attempt");
        const auto read = fleet.now;
        while (fleet.now - read < contact && !std::ranges::all_of(fleet.entries, knows)) {
            fleet.run(milliseconds{10});
        }
        const auto took = milliseconds_between(read, fleet.now);
        std::cout << "METRIC limit_known_after_" << entries << " " << took.count() << " ms\n";
        INFO(entries << " entries");
        CHECK(took < contact);
    }
}

TEST_CASE("entries that restarted or were frozen observe limits as well", "[limits]")
{
    // Guards against a limit that is lost with a process, or exceeded when old reports are read
    // late.
    for (const std::size_t entries : {4, 27}) {
        response_simulation simulation{{.entries = entries, .loss = 0.02}};
        const limits_by_name limits{{"s-0", 1.0}, {"s-1", 2.7}};
        state_limits(simulation, limits);
        const auto stated_at = simulation.now();
        for (std::size_t i = 0; i < entries / 2; ++i) {
            simulation.run(milliseconds{500});
            simulation.restart(i);
            auto& frozen = *simulation.fleet.entries[entries - 1 - i];
            frozen.is_frozen = true;
            simulation.run(seconds{1});
            frozen.is_frozen = false;
        }
        simulation.run(seconds{8});
        for (const auto& [server, limit] : limits) {
            INFO(entries << " entries, " << limit << " a second");
            CHECK(
                simulation.max_count_within(server, window, stated_at + contact) <=
                capacity_of(limit));
        }
    }
}

namespace {

/// Limits of any size at some servers, while entries restart and freeze at any moment, and up to a
/// fifth of the datagrams is lost.
auto simulate_at_random(std::uint64_t seed) -> void
{
    std::mt19937_64 random{seed};
    const auto below = [&random](std::size_t most) {
        return random() % most;
    };
    constexpr std::array<std::size_t, 4> entry_counts{1, 3, 8, 27};
    const auto entries = entry_counts.at(below(entry_counts.size()));
    response_simulation simulation{
        {.entries = entries,
         .servers = 6 + below(8),
         .per_second = 50 + below(200),
         .loss = static_cast<double>(below(20)) / 100.0,
         .seed = seed}};
    limits_by_name limits;
    for (std::size_t i = 0; i < 4; ++i) {
        limits[simulation.server_name(i)] = static_cast<double>(below(120)) / 10.0;
    }
    state_limits(simulation, limits);
    const auto stated_at = simulation.now();
    for (int i = 0; i < 24; ++i) {
        const auto number = below(entries);
        auto& one = *simulation.fleet.entries[number];
        const bool frozen = entries > 1 && below(4) == 0;
        if (below(4) == 0) {
            simulation.restart(number);
        }
        else {
            one.is_frozen = frozen;
        }
        simulation.run(milliseconds{500});
        simulation.fleet.entries[number]->is_frozen = false;
    }
    for (const auto& [server, limit] : limits) {
        INFO("seed " << seed << ", " << entries << " entries, " << limit << " a second");
        // A process that has just started, and reached no peer, learns a limit from its first
        // responses.
        CHECK(most_after_response(simulation, server, stated_at) <= capacity_of(limit));
    }
}

} // namespace

TEST_CASE("limits hold whatever happens to entries", "[limits]")
{
    // Guards against send slots that coincide after restarts, freezes and losses.
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        simulate_at_random(seed);
    }
}

/// Run by hand.
TEST_CASE("limits hold whatever happens to entries, over many seeds", "[.limit_seeds]")
{
    for (std::uint64_t seed = 101; seed <= 200; ++seed) {
        simulate_at_random(seed);
    }
}

TEST_CASE("a limit ends at all entries with the first response without it", "[limits]")
{
    // Guards against a server that is limited long after it has lifted its limit.
    response_simulation simulation{{.entries = 27, .servers = 4, .per_second = 200}};
    state_limits(simulation, {{"s-0", 2.0}});
    simulation.run(seconds{6});
    CHECK(
        simulation.max_count_within("s-0", window, simulation.now() - seconds{4}) <=
        capacity_of(2.0));
    simulation.respond = {};
    simulation.run(seconds{4});
    const auto lifted = simulation.now();
    simulation.run(seconds{4});
    CHECK(simulation.arrivals_at("s-0", lifted) >= 100);
}

} // namespace reedramp::router::testing
