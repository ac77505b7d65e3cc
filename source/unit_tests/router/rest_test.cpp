#include <algorithm>
#include <functional>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "answer_play.hpp"

namespace reedramp::router::testing {

namespace {

constexpr seconds rest{3};
/// Requests that are on their way when a server asks for rest.
constexpr milliseconds on_the_way{500};
constexpr std::size_t most_during_rest = 2;

auto turned_away() -> server_answer
{
    return {503, {{"Reedramp-Not-Executed", "1"}, {"Retry-After", "3"}}};
}

/// These servers turn all requests away, and ask for rest.
auto turn_away_at(answer_play& play, const std::set<std::string>& servers) -> void
{
    play.answer = [servers](const arrival& one) {
        return servers.contains(one.server) ? turned_away() : server_answer{};
    };
}

/// The most requests from one entry that came to a server in the rest that it had asked of it.
auto most_in_a_rest(const answer_play& play) -> std::size_t
{
    std::size_t most = 0;
    for (const auto& asked : play.given) {
        if (asked.status != 503) {
            continue;
        }
        const auto came = std::ranges::count_if(play.arrivals, [&asked](const arrival& one) {
            return one.entry == asked.of.entry && one.server == asked.of.server &&
                   one.at > asked.at + on_the_way && one.at < asked.at + rest;
        });
        most = std::max(most, static_cast<std::size_t>(came));
    }
    return most;
}

auto retry_after(const caller& of) -> double
{
    return std::stod(std::string{http::find_header(of.answer->headers, "Retry-After").value()});
}

} // namespace

TEST_CASE("an entry gives a server the rest that it asks for", "[rest]")
{
    // Guards against servers that turn everything away, look idle, and draw every next request.
    for (const std::size_t entries : {1, 3, 27}) {
        answer_play play{{.entries = entries, .loss = 0.02}};
        play.run(seconds{2});
        turn_away_at(play, {"s-0", "s-1", "s-2", "s-3", "s-4"});
        play.run(seconds{12});
        INFO(entries << " entries");
        CHECK(most_in_a_rest(play) <= most_during_rest);
        CHECK(play.with_status(503) == 0);
    }
}

TEST_CASE("ways to take a rest that another entry was asked for", "[.rest_ways]")
{
    // For trials: what callers and servers see, and what one entry's rest costs the others.
    for (const std::size_t entries : {3, 27, 103}) {
        std::size_t refused = 0;
        std::size_t sent_in_vain = 0;
        std::size_t to_server_of_one = 0;
        constexpr std::uint64_t seeds = 10;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            answer_play play{{.entries = entries, .loss = 0.02, .seed = seed}};
            play.run(seconds{2});
            turn_away_at(play, {"s-0", "s-1", "s-2", "s-3", "s-4"});
            play.run(seconds{12});
            refused += play.with_status(503);
            sent_in_vain += static_cast<std::size_t>(
                std::ranges::count(play.given, std::uint16_t{503}, &given_answer::status));
            // One server turns a third of the entries away, and no others.
            answer_play one{{.entries = entries, .loss = 0.02, .seed = seed}};
            one.answer = [](const arrival& came) {
                return came.server == "s-0" && came.entry % 3 == 0 ? turned_away()
                                                                   : server_answer{};
            };
            const auto begin = one.now();
            one.run(seconds{12});
            to_server_of_one += one.arrivals_at("s-0", begin);
        }
        std::cout << "METRIC rest_ways_" << entries << " refused " << refused << " in vain "
                  << sent_in_vain << " to one that turns a third away " << to_server_of_one << "\n";
    }
}

TEST_CASE("while all servers rest callers are refused at once, and told when one is back", "[rest]")
{
    // Guards against requests that go round among servers which all want none.
    answer_play play{{.entries = 3, .servers = 4}};
    play.run(seconds{2});
    turn_away_at(play, {"s-0", "s-1", "s-2", "s-3"});
    play.run(seconds{1});
    const auto asked = play.callers.size();
    play.run(milliseconds{500});
    REQUIRE(play.callers.size() > asked);
    // The ones before the last ten milliseconds have their answer.
    for (std::size_t i = asked; i + 2 < play.callers.size(); ++i) {
        const auto& one = *play.callers[i];
        REQUIRE(one.status() == 503);
        CHECK(retry_after(one) >= 1.0);
        CHECK(retry_after(one) <= 5.0);
    }
    play.run(seconds{6});
    CHECK(most_in_a_rest(play) <= most_during_rest);
}

namespace {

using server_step = std::function<auto(sent_request& at)->void>;

/// Answers the newest request to a server, and what that leads to, as long as one is open.
auto answer_in_turn(world& all, const std::vector<server_step>& steps) -> void
{
    for (const auto& step : steps) {
        if (all.last().events.on_done) {
            step(all.last());
        }
    }
}

auto is_whole(sent_request& at) -> void
{
    at.answer(200, "id: 0\ndata: 0\n\n", {{"Reedramp-Confidence", "100"}});
}

auto is_unsure(sent_request& at) -> void
{
    at.head(200, {{"Reedramp-Confidence", "1"}});
}

auto breaks_off(sent_request& at) -> void
{
    at.head(200, {{"Reedramp-Confidence", "100"}});
    at.chunk("id: 0\ndata: 0\n\n");
    at.lose(common::execution::unknown);
}

auto goes_on(sent_request& at) -> void
{
    at.answer(200, "id: 1\ndata: 1\n\n");
}

auto fails(sent_request& at) -> void
{
    at.answer(500, "");
}

} // namespace

TEST_CASE("second sends, larger models and streams that go on give rest as well", "[rest]")
{
    // Guards against a rest that first sends keep and others do not.
    world all;
    all.ask("/again/1");
    const auto resting = all.last().header("Reedramp-Expect-Server");
    answer_in_turn(
        all,
        {[](sent_request& at) {
             at.answer(503, "", {{"Reedramp-Not-Executed", "1"}, {"Retry-After", "3"}});
         },
         is_whole});
    REQUIRE(all.sends() == 2);
    constexpr int rounds = 5;
    for (int i = 0; i < rounds; ++i) {
        all.advance(milliseconds{100});
        all.ask("/stream/1");
        answer_in_turn(all, {is_unsure, is_whole});
        all.ask("/stream/1");
        answer_in_turn(all, {breaks_off, goes_on});
        all.ask("/stream/1", {{"Last-Event-Id", "-1"}});
        answer_in_turn(all, {is_whole});
        all.ask("/again/1");
        answer_in_turn(all, {fails, is_whole});
    }
    // More than the first ones: the budget of second sends holds some back.
    CHECK(all.sends() > 2 + 4 * rounds);
    for (std::size_t i = 1; i < all.sends(); ++i) {
        CHECK(all.client->sent[i]->header("Reedramp-Expect-Server") != resting);
    }
    // It gets work again when its rest is over.
    all.advance(seconds{5});
    std::set<std::string> used;
    for (int i = 0; i < 6; ++i) {
        all.ask("/again/1");
        used.insert(all.last().header("Reedramp-Expect-Server"));
    }
    CHECK(used.contains(resting));
}

} // namespace reedramp::router::testing
