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

TEST_CASE("a request that ends servers which run nothing else is found, too", "[crash]")
{
    // Servers have little to do. What ends them is alone there, so that nobody else's loss tells a
    // server that ended from a connection that broke.
    crash_play play{{.entries = 4}};
    const auto body = crash_play::ending("one");
    for (int second = 0; second < 20; ++second) {
        play.ask_anywhere(body);
        play.run(seconds{1});
    }
    const auto third = play.third_end(body);
    REQUIRE(third != common::never);
    CHECK(play.arrivals_after(body, third + contact) <= most_late);
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

TEST_CASE("copies that come at once at several entries are counted together", "[crash]")
{
    // Three copies of a request come in one moment and then none for five seconds, so that servers
    // end in pairs and threes. Counted once a moment, the next three copies were sent on as well.
    for (const std::uint64_t seed : {1, 22}) {
        crash_play play{{.entries = 103, .loss = 0.02, .seed = seed}};
        const auto body = crash_play::ending("one");
        for (int i = 0; i < 4; ++i) {
            play.ask_anywhere(body);
            play.ask_anywhere(body);
            play.ask_anywhere(body);
            play_harmless(play, seconds{5});
        }
        const auto third = play.third_end(body);
        REQUIRE(third != common::never);
        INFO("seed " << seed);
        CHECK(play.arrivals_after(body, third + contact) <= most_late);
        CHECK(refused(play, false) == 0);
    }
}

/// Totals over many seeds, by hand.
TEST_CASE("a request that ends servers among harmless ones, over many seeds", "[.crash_seeds]")
{
    constexpr std::uint64_t seeds = 75;
    for (const std::size_t entries : {1, 4, 26, 103}) {
        std::size_t harmless_refused = 0;
        std::size_t late = 0;
        std::size_t most_after = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            crash_play play{{.entries = entries, .loss = 0.02, .seed = seed}};
            const auto body = crash_play::ending("one");
            for (int second = 0; second < 12; ++second) {
                play_harmless(play, seconds{1});
                for (std::uint64_t copies = play.random() % 4; copies > 0; --copies) {
                    play.ask_anywhere(body);
                }
            }
            const auto third = play.third_end(body);
            harmless_refused += refused(play, false);
            late += play.arrivals_after(body, third + contact);
            most_after = std::max(most_after, play.arrivals_after(body, third));
        }
        const auto at = std::to_string(entries);
        std::cout << "METRIC harmless_refused_" << at << " " << harmless_refused << " requests\n"
                  << "METRIC late_arrivals_" << at << " " << late << " sends\n"
                  << "METRIC most_arrivals_after_third_" << at << " " << most_after << " sends\n";
        CHECK(harmless_refused == 0);
        CHECK(late == 0);
    }
}

} // namespace reedramp::router::testing
