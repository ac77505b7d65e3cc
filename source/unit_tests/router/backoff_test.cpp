#include <algorithm>
#include <functional>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "response_simulation.hpp"

namespace reedramp::router::testing {

namespace {

constexpr seconds backoff_time{3};
/// Requests in transit when a server asks for a backoff.
constexpr milliseconds in_transit_time{500};
constexpr std::size_t max_during_backoff = 2;

auto refusal() -> server_response
{
    return {503, {{"Reedramp-Not-Executed", "1"}, {"Retry-After", "3"}}};
}

/// Makes these servers refuse all requests and ask for a backoff.
auto refuse_at(response_simulation& simulation, const std::set<std::string>& servers) -> void
{
    simulation.respond = [servers](const arrival& one) {
        return servers.contains(one.server) ? refusal() : server_response{};
    };
}

/// Maximum number of requests from one entry that arrived at a server during the backoff that it
/// had asked of that entry.
auto most_during_backoff(const response_simulation& simulation) -> std::size_t
{
    std::size_t most = 0;
    for (const auto& refused : simulation.responses) {
        if (refused.status != 503) {
            continue;
        }
        const auto count =
            std::ranges::count_if(simulation.arrivals, [&refused](const arrival& one) {
                return one.entry == refused.of.entry && one.server == refused.of.server &&
                       one.at > refused.at + in_transit_time && one.at < refused.at + backoff_time;
            });
        most = std::max(most, static_cast<std::size_t>(count));
    }
    return most;
}

auto retry_after(const caller& of) -> double
{
    return std::stod(std::string{http::find_header(of.answer->headers, "Retry-After").value()});
}

} // namespace

TEST_CASE("an entry observes the backoff that a server asks for", "[rest]")
{
    // Guards against servers that refuse everything, look idle, and therefore attract every next
    // request.
    for (const std::size_t entries : {1, 3, 27}) {
        response_simulation simulation{{.entries = entries, .loss = 0.02}};
        simulation.run(seconds{2});
        refuse_at(simulation, {"s-0", "s-1", "s-2", "s-3", "s-4"});
        simulation.run(seconds{12});
        INFO(entries << " entries");
        CHECK(most_during_backoff(simulation) <= max_during_backoff);
        CHECK(simulation.with_status(503) == 0);
    }
}

TEST_CASE("effects of a backoff on other entries", "[.rest_ways]")
{
    // For experiments: refusals seen by callers and servers, and what one entry's backoff costs the
    // others.
    for (const std::size_t entries : {3, 27, 103}) {
        std::size_t refused = 0;
        std::size_t sent_in_vain = 0;
        std::size_t to_server_of_one = 0;
        constexpr std::uint64_t seeds = 10;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            response_simulation simulation{{.entries = entries, .loss = 0.02, .seed = seed}};
            simulation.run(seconds{2});
            refuse_at(simulation, {"s-0", "s-1", "s-2", "s-3", "s-4"});
            simulation.run(seconds{12});
            refused += simulation.with_status(503);
            sent_in_vain += static_cast<std::size_t>(std::ranges::count(
                simulation.responses, std::uint16_t{503}, &received_response::status));
            // One server refuses a third of the entries and serves the others.
            response_simulation one{{.entries = entries, .loss = 0.02, .seed = seed}};
            one.respond = [](const arrival& count) {
                return count.server == "s-0" && count.entry % 3 == 0 ? refusal()
                                                                     : server_response{};
            };
            const auto begin = one.now();
            one.run(seconds{12});
            to_server_of_one += one.arrivals_at("s-0", begin);
        }
        std::cout << "METRIC rest_ways_" << entries << " refused " << refused << " in vain "
                  << sent_in_vain << " to one that turns a third away " << to_server_of_one << "\n";
    }
}

TEST_CASE("while all servers back off callers are refused at once with a time to return", "[rest]")
{
    // Guards against requests that circulate among servers which all refuse them.
    response_simulation simulation{{.entries = 3, .servers = 4}};
    simulation.run(seconds{2});
    refuse_at(simulation, {"s-0", "s-1", "s-2", "s-3"});
    simulation.run(seconds{1});
    const auto first_index = simulation.callers.size();
    simulation.run(milliseconds{500});
    REQUIRE(simulation.callers.size() > first_index);
    // Requests from before the last ten milliseconds have their response.
    for (std::size_t i = first_index; i + 2 < simulation.callers.size(); ++i) {
        const auto& one = *simulation.callers[i];
        REQUIRE(one.status() == 503);
        CHECK(retry_after(one) >= 1.0);
        CHECK(retry_after(one) <= 5.0);
    }
    simulation.run(seconds{6});
    CHECK(most_during_backoff(simulation) <= max_during_backoff);
}

namespace {

using server_step = std::function<auto(sent_request& at)->void>;

/// Applies the steps in turn to the newest request to a server while one is open.
auto apply_steps(router_fixture& fixture, const std::vector<server_step>& steps) -> void
{
    for (const auto& step : steps) {
        if (fixture.last().events.on_done) {
            step(fixture.last());
        }
    }
}

auto respond_whole(sent_request& at) -> void
{
    at.answer(200, "id: 0\ndata: 0\n\n", {{"Reedramp-Confidence", "100"}});
}

auto respond_unsure(sent_request& at) -> void
{
    at.head(200, {{"Reedramp-Confidence", "1"}});
}

auto break_off(sent_request& at) -> void
{
    at.head(200, {{"Reedramp-Confidence", "100"}});
    at.chunk("id: 0\ndata: 0\n\n");
    at.lose(common::execution::unknown);
}

auto resume_stream(sent_request& at) -> void
{
    at.answer(200, "id: 1\ndata: 1\n\n");
}

auto fail(sent_request& at) -> void
{
    at.answer(500, "");
}

} // namespace

TEST_CASE("retries, larger models and resumed streams observe a backoff as well", "[rest]")
{
    // Guards against a backoff that only first sends observe.
    router_fixture fixture;
    fixture.ask("/again/1");
    const auto refusing = fixture.last().header("Reedramp-Expect-Server");
    apply_steps(
        fixture,
        {[](sent_request& at) {
             at.answer(503, "", {{"Reedramp-Not-Executed", "1"}, {"Retry-After", "3"}});
         },
         respond_whole});
    REQUIRE(fixture.sends() == 2);
    constexpr int rounds = 5;
    for (int i = 0; i < rounds; ++i) {
        fixture.advance(milliseconds{100});
        fixture.ask("/stream/1");
        apply_steps(fixture, {respond_unsure, respond_whole});
        fixture.ask("/stream/1");
        apply_steps(fixture, {break_off, resume_stream});
        fixture.ask("/stream/1", {{"Last-Event-Id", "-1"}});
        apply_steps(fixture, {respond_whole});
        fixture.ask("/again/1");
        apply_steps(fixture, {fail, respond_whole});
    }
    // More than the first sends; the retry budget holds some further ones back.
    CHECK(fixture.sends() > 2 + 4 * rounds);
    for (std::size_t i = 1; i < fixture.sends(); ++i) {
        CHECK(fixture.client->sent[i]->header("Reedramp-Expect-Server") != refusing);
    }
    // It gets requests again after its backoff.
    fixture.advance(seconds{5});
    std::set<std::string> used;
    for (int i = 0; i < 6; ++i) {
        fixture.ask("/again/1");
        used.insert(fixture.last().header("Reedramp-Expect-Server"));
    }
    CHECK(used.contains(refusing));
}

} // namespace reedramp::router::testing
