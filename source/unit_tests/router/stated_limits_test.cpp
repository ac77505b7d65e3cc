#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "answer_play.hpp"
#include "router/relay.hpp"

namespace reedramp::router::testing {

namespace {

/// From the first answer that names a limit until it has to be kept.
constexpr seconds contact{3};
/// Answers so young bind nobody yet.
constexpr milliseconds on_the_way{500};
constexpr milliseconds window{4000};

/// Requests that a server with this limit bears in some four seconds.
auto borne(double per_second) -> std::size_t
{
    constexpr double excess = 1.5;
    constexpr double slack = 5.0;
    return static_cast<std::size_t>(excess * per_second * 4.0 + slack);
}

/// Servers of a play that name limits in all answers.
using limits_by_name = std::map<std::string, double>;

auto name_limits(answer_play& play, const limits_by_name& limits) -> void
{
    play.answer = [limits](const arrival& one) {
        server_answer said;
        if (const auto found = limits.find(one.server); found != limits.end()) {
            said.headers = {{"Reedramp-Server-Limit", std::to_string(found->second)}};
        }
        return said;
    };
}

/// The most requests in four seconds from entries that had read the limit in an answer.
auto most_of_told(const answer_play& play, const std::string& server, common::time_point named)
    -> std::size_t
{
    return play.max_count_within(server, window, named + contact, [&](const arrival& one) {
        return play.had_answer(one, one.at - on_the_way);
    });
}

} // namespace

TEST_CASE("a server that names its limit gets no more from all entries together", "[limits]")
{
    // Guards against requests beyond what a server in need has said that it takes.
    for (const std::size_t entries : {1, 3, 27, 103}) {
        answer_play play{{.entries = entries, .loss = 0.02}};
        play.run(seconds{2});
        const limits_by_name limits{{"s-0", 1.0}, {"s-1", 2.7}, {"s-2", 0.0}};
        name_limits(play, limits);
        const auto named = play.now();
        play.run(seconds{20});
        for (const auto& [server, limit] : limits) {
            const auto most = play.max_count_within(server, window, named + contact);
            std::cout << "METRIC limit_most_in_4s_" << entries << "_at_" << limit << " " << most
                      << " requests\n";
            INFO(entries << " entries, " << limit << " a second");
            CHECK(most_of_told(play, server, named) <= borne(limit));
            CHECK(most <= borne(limit));
        }
        CHECK(play.with_status(503) == 0);
    }
}

TEST_CASE("with limits at all servers each gets nearly what it takes, and no more", "[limits]")
{
    // Guards against limits that are passed, or left unused, while all callers press.
    for (const std::size_t entries : {1, 3, 27}) {
        answer_play play{{.entries = entries, .servers = 6, .per_second = 100, .loss = 0.02}};
        limits_by_name limits;
        for (std::size_t i = 0; i < 6; ++i) {
            limits[play.name_of(i)] = i < 3 ? 2.0 : 5.0;
        }
        name_limits(play, limits);
        play.run(seconds{2});
        const auto named = play.now();
        constexpr seconds time{20};
        play.run(contact + time);
        double used = 0.0;
        for (const auto& [server, limit] : limits) {
            INFO(entries << " entries, " << server << ", " << limit << " a second");
            CHECK(play.max_count_within(server, window, named + contact) <= borne(limit));
            used += static_cast<double>(play.arrivals_at(server, named + contact));
        }
        constexpr double taken_together = 21.0;
        const double part = used / (taken_together * static_cast<double>(time.count()));
        std::cout << "METRIC limit_used_" << entries << " " << part << " parts\n";
        CHECK(part >= 0.6);
        // The others are told so, and when to come back.
        CHECK(play.with_status(503) > 0);
    }
}

TEST_CASE("a limit that one entry reads is soon known to all", "[limits]")
{
    // Guards against entries that send as before until an answer of their own tells them.
    for (const std::size_t entries : {4, 27, 103, 390}) {
        entry_fleet fleet{{.entries = entries, .loss = 0.02}};
        fleet.run(contact);
        const routing::server_instance server{common::server_id{"a"}};
        const auto knows = [&server](const auto& one) {
            return one->own.core->intake.limits().per_second(server).has_value();
        };
        server_directives said;
        said.limit = 2.0;
        fleet.entries.front()->own.core->hear_limit(server, said, "attempt");
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

TEST_CASE("entries that start anew, and such as stood still, keep limits as well", "[limits]")
{
    // Guards against a limit that is lost with a process, or passed when old words are read late.
    for (const std::size_t entries : {4, 27}) {
        answer_play play{{.entries = entries, .loss = 0.02}};
        const limits_by_name limits{{"s-0", 1.0}, {"s-1", 2.7}};
        name_limits(play, limits);
        const auto named = play.now();
        for (std::size_t i = 0; i < entries / 2; ++i) {
            play.run(milliseconds{500});
            play.start_anew(i);
            auto& stands_still = *play.fleet.entries[entries - 1 - i];
            stands_still.is_frozen = true;
            play.run(seconds{1});
            stands_still.is_frozen = false;
        }
        play.run(seconds{8});
        for (const auto& [server, limit] : limits) {
            INFO(entries << " entries, " << limit << " a second");
            CHECK(play.max_count_within(server, window, named + contact) <= borne(limit));
        }
    }
}

namespace {

/// Limits of any size at some servers and rest at others, while entries start anew and stand still
/// at any moment, and up to a fifth of the datagrams is lost.
auto play_at_random(std::uint64_t seed) -> void
{
    std::mt19937_64 random{seed};
    const auto below = [&random](std::size_t most) {
        return random() % most;
    };
    constexpr std::array<std::size_t, 4> crowds{1, 3, 8, 27};
    const auto entries = crowds.at(below(crowds.size()));
    answer_play play{
        {.entries = entries,
         .servers = 6 + below(8),
         .per_second = 50 + below(200),
         .loss = static_cast<double>(below(20)) / 100.0,
         .seed = seed}};
    limits_by_name limits;
    for (std::size_t i = 0; i < 4; ++i) {
        limits[play.name_of(i)] = static_cast<double>(below(120)) / 10.0;
    }
    name_limits(play, limits);
    const auto named = play.now();
    for (int i = 0; i < 24; ++i) {
        const auto number = below(entries);
        auto& one = *play.fleet.entries[number];
        const bool stands_still = entries > 1 && below(4) == 0;
        if (below(4) == 0) {
            play.start_anew(number);
        }
        else {
            one.is_frozen = stands_still;
        }
        play.run(milliseconds{500});
        play.fleet.entries[number]->is_frozen = false;
    }
    for (const auto& [server, limit] : limits) {
        INFO("seed " << seed << ", " << entries << " entries, " << limit << " a second");
        // A process that has just started, and reached nobody, learns a limit by its first answers.
        CHECK(most_of_told(play, server, named) <= borne(limit));
    }
}

} // namespace

TEST_CASE("limits hold whatever befalls entries", "[limits]")
{
    // Guards against turns that come together after restarts, standstills and losses.
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        play_at_random(seed);
    }
}

/// By hand.
TEST_CASE("limits hold whatever befalls entries, over many seeds", "[.limit_seeds]")
{
    for (std::uint64_t seed = 101; seed <= 200; ++seed) {
        play_at_random(seed);
    }
}

TEST_CASE("a limit ends at all entries with the first answer without it", "[limits]")
{
    // Guards against a server that is left alone long after it has said that it takes all again.
    answer_play play{{.entries = 27, .servers = 4, .per_second = 200}};
    name_limits(play, {{"s-0", 2.0}});
    play.run(seconds{6});
    CHECK(play.max_count_within("s-0", window, play.now() - seconds{4}) <= borne(2.0));
    play.answer = {};
    play.run(seconds{4});
    const auto lifted = play.now();
    play.run(seconds{4});
    CHECK(play.arrivals_at("s-0", lifted) >= 100);
}

} // namespace reedramp::router::testing
