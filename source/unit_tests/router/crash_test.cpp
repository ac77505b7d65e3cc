#include <algorithm>
#include <functional>
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

/// Harmless requests, each another one, `at_once` of them twenty times a second.
auto play_harmless(crash_play& play, milliseconds time, std::size_t at_once = 1) -> void
{
    constexpr milliseconds between{50};
    for (auto played = milliseconds{0}; played < time; played += between) {
        for (std::size_t i = 0; i < at_once; ++i) {
            play.ask_anywhere("harmless " + std::to_string(play.asked.size()));
        }
        play.run(between);
    }
}

/// On servers that run ten requests each, and on idle ones.
auto load_of(std::uint64_t seed) -> std::size_t
{
    constexpr std::size_t busy = 15;
    return seed % 3 == 1 ? busy : 1;
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

TEST_CASE(
    "no server of a request that ends them is tried long after, whatever befalls entries",
    "[crash]")
{
    // While the request comes, one entry is cut off from all others, one freezes, one starts anew
    // and knows nothing, and the servers return under their ids. Each of them would send it on.
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        crash_play play{
            {.entries = 26, .loss = 0.02, .seed = seed, .returns_under_id = seed % 2 == 0}};
        const auto body = crash_play::ending("one");
        const auto play_copies = [&play, &body](int times) {
            for (int i = 0; i < times; ++i) {
                play_harmless(play, milliseconds{500});
                play.ask_anywhere(body);
            }
        };
        play.fleet.entries[3]->is_frozen = true;
        play_copies(4);
        play.start_anew(5);
        play_copies(4);
        play.fleet.entries[3]->is_frozen = false;
        play_copies(4);
        play.start_anew(6);
        play_copies(8);
        const auto third = play.third_end(body);
        REQUIRE(third != common::never);
        INFO("seed " << seed);
        CHECK(play.arrivals_after(body, third + contact) <= most_late);
        CHECK(refused(play, false) == 0);
    }
}

TEST_CASE("each kind of request that ends servers is refused, and told the truth", "[crash]")
{
    // A request that must run once is never sent twice in an attempt, and its copies end one server
    // each; a stream is resumed behind an event; a cascade starts with its small model. What has
    // not run is refused as such, and when to come back is said.
    const std::vector<asked_by> kinds = {
        {.path = "/once/1"},
        {.path = "/again/1"},
        {.headers = {{"Last-Event-Id", "4"}}},
        {.headers = {{"Reedramp-Model", "*"}}}};
    for (const auto& how : kinds) {
        crash_play play{{.entries = 4}};
        const auto body = crash_play::ending("one");
        for (int i = 0; i < 8; ++i) {
            play.ask_anywhere(body, how);
            play_harmless(play, seconds{1});
        }
        INFO(how.path << (how.headers.empty() ? "" : " " + how.headers.front().name));
        const auto last = play.ask_anywhere(body, how);
        CHECK(last->status() == 503);
        REQUIRE(last->answer);
        CHECK(last->answer->body.find("ends_servers") != std::string::npos);
        CHECK(http::find_header(last->answer->headers, "Retry-After") == "600.000");
        CHECK(play.arrivals_after(body, play.third_end(body) + contact) <= most_late);
        // What has run, or may have, was not called not run.
        for (const auto& one : play.asked) {
            const bool has_run = std::ranges::any_of(play.sends, [&](const played_send& send) {
                return send.body == body && send.attempt == one.attempt;
            });
            CHECK((one.body != body || !has_run || one.out->status() != 503));
        }
    }
}

TEST_CASE("another organisation, path or body is another request", "[crash]")
{
    crash_play play{{.entries = 4}};
    const auto body = crash_play::ending("one");
    for (int i = 0; i < 4; ++i) {
        play.ask_anywhere(body);
        play_harmless(play, seconds{1});
    }
    REQUIRE(play.ask(0, body)->status() == 503);
    const auto before = play.sends.size();
    play.ask(0, body, {.key = "key-of-other"});
    play.ask(1, body, {.path = "/stream/2"});
    play.ask(2, crash_play::ending("two"));
    play.run(milliseconds{10});
    CHECK(play.sends.size() == before + 3);
    // The same organisation's other key is the same caller.
    CHECK(play.ask(3, body, {.key = "key-2"})->status() == 503);
}

/// Totals over many seeds, by hand.
TEST_CASE("a request that ends servers among harmless ones, over many seeds", "[.crash_seeds]")
{
    constexpr std::uint64_t seeds = 75;
    for (const std::size_t entries : {1, 4, 26, 103}) {
        std::size_t harmless_refused = 0;
        std::size_t late = 0;
        std::size_t most_after = 0;
        milliseconds known_after{0};
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            crash_play play{{.entries = entries, .loss = 0.02, .seed = seed}};
            const auto body = crash_play::ending("one");
            for (int second = 0; second < 12; ++second) {
                play_harmless(play, seconds{1}, load_of(seed));
                for (std::uint64_t copies = play.random() % 4; copies > 0; --copies) {
                    play.ask_anywhere(body);
                }
            }
            const auto third = play.third_end(body);
            harmless_refused += refused(play, false);
            late += play.arrivals_after(body, third + contact);
            most_after = std::max(most_after, play.arrivals_after(body, third));
            const auto known = play.known_to_all(body);
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

/// Totals over many seeds, by hand.
TEST_CASE("harmless requests while servers end by themselves, over many seeds", "[.crash_seeds]")
{
    struct trouble {
        const char* name;
        std::function<auto(crash_play& play, int round)->void> strike;
    };

    const std::vector<trouble> troubles = {
        {"rack",
         [](crash_play& play, int round) {
             const auto living = play.living();
             for (std::size_t i = 0; round % 8 == 0 && i < living.size() / 3; ++i) {
                 play.crash(living[i]);
             }
         }},
        {"one_by_one",
         [](crash_play& play, int) {
             play.crash(play.living().front());
         }},
        // The same server again and again; it has returned two rounds later.
        {"one_again",
         [](crash_play& play, int round) {
             if (round % 2 == 0) {
                 play.crash("s-1");
             }
         }},
        // A bad version: a quarter of the servers, any of which ends twice a second.
        {"bad_version", [](crash_play& play, int) {
             const auto living = play.living();
             play.crash(living[play.random() % (living.size() / 4 + 1)]);
         }}};
    for (const auto& one : troubles) {
        std::size_t barred = 0;
        std::size_t asked = 0;
        for (std::uint64_t seed = 1; seed <= 75; ++seed) {
            crash_play play{
                {.entries = seed % 3 == 0 ? 26U : 4U,
                 .loss = 0.02,
                 .seed = seed,
                 .returns_under_id = seed % 2 == 0}};
            for (int round = 0; round < 40; ++round) {
                play_harmless(play, milliseconds{400}, load_of(seed));
                one.strike(play, round);
            }
            barred += refused(play, false);
            asked += play.asked.size();
        }
        std::cout << "METRIC harmless_refused_" << one.name << " " << barred << " requests of "
                  << asked << "\n";
        CHECK(barred == 0);
    }
}

/// By hand: what is served beside a request that ends servers, against the same without it.
TEST_CASE("harmless requests beside one that ends servers, over many seeds", "[.crash_seeds]")
{
    const auto served = [](const crash_play& play) {
        const auto count = std::ranges::count_if(play.asked, [](const played_request& one) {
            return !one.body.starts_with(crash_play::ending("")) && one.out->is_finished;
        });
        const auto all = std::ranges::count_if(play.asked, [](const played_request& one) {
            return !one.body.starts_with(crash_play::ending(""));
        });
        return static_cast<double>(count) / static_cast<double>(all);
    };
    double with = 0.0;
    double without = 0.0;
    constexpr std::uint64_t seeds = 75;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const bool comes : {true, false}) {
            crash_play play{{.entries = 4, .servers = 24, .loss = 0.02, .seed = seed}};
            for (int second = 0; second < 20; ++second) {
                play_harmless(play, seconds{1}, load_of(seed));
                if (comes) {
                    play.ask_anywhere(crash_play::ending("one"));
                }
            }
            play.run(seconds{3});
            (comes ? with : without) += served(play) / static_cast<double>(seeds);
        }
    }
    std::cout << "METRIC harmless_served_beside " << with << " ratio\n"
              << "METRIC harmless_served_alone " << without << " ratio\n";
    CHECK(with >= without - 0.02);
}

} // namespace reedramp::router::testing
