#include <algorithm>
#include <iostream>

#include <catch2/catch.hpp>

#include "crash_play.hpp"

namespace reedramp::router::testing {

namespace {

/// Entries that have been in touch for so long know what the others have seen.
constexpr seconds contact{3};
/// Arrivals at servers later than that which the operators allow.
constexpr std::size_t most_late = 3;

/// Callers whose request was refused since it is taken to end servers.
auto refused(const crash_play& play, bool that_end_servers) -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(play.asked, [that_end_servers](const played_request& one) {
            const bool ends_servers = one.body.starts_with(crash_play::ending(""));
            return ends_servers == that_end_servers && one.out->answer &&
                   one.out->answer->body.find("ends_servers") != std::string::npos;
        }));
}

/// Twenty harmless requests a second, each another one.
auto play_harmless(crash_play& play, milliseconds time) -> void
{
    constexpr milliseconds between{50};
    for (auto played = milliseconds{0}; played < time; played += between) {
        play.ask_anywhere("harmless " + std::to_string(play.asked.size()));
        play.run(between);
    }
}

} // namespace

TEST_CASE("a request that ends servers is soon sent to none, at all entries", "[crash]")
{
    // Over a tenth of all requests fail in waves, while servers end faster than new ones start, 60
    // in a wave. One request ends each server that begins it. Each of its sends is lost, so that
    // the entry sends it on; its caller comes again, with a new id and at any entry. No attempt is
    // sent more often than allowed, but nothing knew that two attempts are the same request. A
    // print of what is asked, in the lines of lost sends, shows the same one at each end.
    for (const std::size_t entries : {1, 4, 26}) {
        crash_play play{{.entries = entries}};
        const auto body = crash_play::ending("one");
        for (int second = 0; second < 20; ++second) {
            play_harmless(play, seconds{1});
            play.ask_anywhere(body);
            play.ask_anywhere(body);
        }
        const auto third = play.third_end(body);
        REQUIRE(third != common::never);
        INFO(entries << " entries");
        CHECK(play.arrivals_after(body, third + contact) <= most_late);
        CHECK(refused(play, true) > 0);
        CHECK(refused(play, false) == 0);
    }
}

TEST_CASE("requests that are there when servers end are not refused", "[crash]")
{
    // Servers end one after the other for a reason of their own, or all of a rack at once. The same
    // harmless requests lose two, three and four of them, as one does that ends servers. Refused
    // for it, they would be answered by nobody, although nothing is wrong with them.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        crash_play play{{.entries = 4, .seed = seed}};
        for (int i = 0; i < 40; ++i) {
            play_harmless(play, milliseconds{250});
            const auto living = play.living();
            const auto ending = i % 10 == 0 ? living.size() / 3 : 1;
            for (std::size_t server = 0; server < ending; ++server) {
                play.crash(living[server]);
            }
        }
        INFO("seed " << seed);
        CHECK(refused(play, false) == 0);
    }
}

TEST_CASE("crashing requests, many seeds", "[.crash_long]")
{
    for (const std::size_t entries : {1, 4, 26, 103}) {
        std::size_t innocent = 0;
        std::size_t late = 0;
        std::size_t worst = 0;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            crash_play play{{.entries = entries, .loss = 0.02, .seed = seed}};
            const auto body = crash_play::ending("one");
            for (int second = 0; second < 12; ++second) {
                play_harmless(play, seconds{1});
                play.ask_anywhere(body);
                if (second % 2 == 0) {
                    play.ask_anywhere(body);
                    play.ask_anywhere(body);
                }
            }
            const auto third = play.third_end(body);
            innocent += refused(play, false);
            late += play.arrivals_after(body, third + contact);
            worst = std::max(worst, play.arrivals_after(body, third));
        }
        std::cout << entries << " entries: innocent refused " << innocent << ", late " << late
                  << ", most arrivals after the third " << worst << "\n";
    }
}

} // namespace reedramp::router::testing
