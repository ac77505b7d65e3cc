#include <string>

#include <catch2/catch.hpp>

#include "routing/crash_tracker.hpp"

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr request_fingerprint ending{1};
/// From a send until its server ends.
constexpr milliseconds under_way{60};

/// A book on the crashes that a test plays, a second after one another.
struct played_book {
    crash_tracker book{crash_options{}};
    time_point now{seconds{1000}};
    std::uint64_t next_harmless = 1000;
    int servers = 0;

    /// A server ends with these under way, and with two harmless ones that nobody meets again.
    auto crash(const std::vector<request_fingerprint>& running) -> server_instance
    {
        this->servers += 1;
        const server_instance server{common::server_id{"s-" + std::to_string(this->servers)}};
        for (const auto print : running) {
            this->book.note_lost(print, server, this->now - under_way, this->now);
        }
        for (int i = 0; i < 2; ++i) {
            this->next_harmless += 1;
            this->book.note_lost(
                request_fingerprint{this->next_harmless}, server, this->now - under_way, this->now);
        }
        this->now += seconds{1};
        return server;
    }

    auto judge() -> std::size_t { return this->book.judge(this->now).size(); }
};

} // namespace

TEST_CASE("a request is barred at its third crash, once the crash has settled", "[crash_book]")
{
    played_book played;
    played.crash({ending});
    played.crash({ending});
    CHECK(played.judge() == 0);
    played.crash({ending});
    played.now -= milliseconds{900};
    // Another entry's words on who else was there may be on their way.
    CHECK(played.judge() == 0);
    played.now += milliseconds{300};
    const auto found = played.book.judge(played.now);
    REQUIRE(found.size() == 1);
    CHECK(found.front().print == ending);
    CHECK(found.front().crashes == 3);
    CHECK(found.front().others == 0);
    CHECK(played.book.is_barred(ending));
    // What was there by its side is no suspect of these crashes any more.
    CHECK(played.book.barred_count() == 1);
    CHECK(played.judge() == 0);
}

TEST_CASE("who was at the same crashes is not told apart, until one is there again", "[crash_book]")
{
    // A harmless request is lost with three servers since it was sent on to each one that the other
    // one ended next.
    const request_fingerprint harmless{2};
    played_book played;
    for (int i = 0; i < 3; ++i) {
        played.crash({ending, harmless});
    }
    CHECK(played.judge() == 0);
    played.crash({ending});
    CHECK(played.judge() == 1);
    CHECK(played.book.is_barred(ending));
    CHECK(!played.book.is_barred(harmless));
}

TEST_CASE("a request that was served is no suspect, and is let in again", "[crash_book]")
{
    played_book played;
    const server_instance sound{common::server_id{"sound"}};
    played.crash({ending});
    played.crash({ending});
    played.book.note_served(ending, sound, played.now);
    played.now += milliseconds{1};
    played.crash({ending});
    CHECK(played.judge() == 0);
    played.crash({ending});
    played.crash({ending});
    CHECK(played.judge() == 1);
    // One of its copies, which was under way, comes to a good end.
    played.book.note_served(ending, sound, played.now);
    CHECK(!played.book.is_barred(ending));
    // A peer that has not heard of that yet still names it as barred.
    played.now += milliseconds{100};
    CHECK(!played.book.hear_barred({ending, milliseconds{500}, milliseconds{10}}, played.now));
    CHECK(played.book.hear_barred({ending, milliseconds{50}, milliseconds{10}}, played.now));
}

TEST_CASE("broken connections are no crashes", "[crash_book]")
{
    // A server breaks off answers, or a network closes connections, and goes on serving others.
    played_book played;
    for (int i = 0; i < 8; ++i) {
        const server_instance server{common::server_id{"flaky-" + std::to_string(i)}};
        played.book.note_lost(ending, server, played.now - under_way, played.now);
        played.now += seconds{1};
    }
    CHECK(played.judge() == 0);
    // It serves, so that what was lost in one moment was its connections.
    const server_instance alive{common::server_id{"alive"}};
    for (int i = 0; i < 3; ++i) {
        const auto server = played.crash({ending});
        played.book.note_served(request_fingerprint{7}, server, played.now);
    }
    CHECK(played.judge() == 0);
    // Nobody answers where it was lost.
    for (int i = 0; i < 3; ++i) {
        played.book.note_down(
            server_instance{common::server_id{"flaky-" + std::to_string(i)}}, played.now);
    }
    CHECK(played.judge() == 1);
}

TEST_CASE("while servers end for another reason, more is asked for, up to a limit", "[crash_book]")
{
    played_book played;
    for (int i = 0; i < 5; ++i) {
        CHECK(played.judge() == 0);
        played.crash({ending});
        played.crash({});
        played.crash({});
    }
    played.crash({ending});
    const auto found = played.book.judge(played.now);
    REQUIRE(found.size() == 1);
    CHECK(found.front().crashes == 6);
    CHECK(found.front().others == 10);
}

TEST_CASE("many copies of a harmless request in one rack that fails do not bar it", "[crash_book]")
{
    const request_fingerprint common_one{3};
    played_book played;
    for (int i = 0; i < 6; ++i) {
        played.crash({common_one});
        played.now -= seconds{1};
    }
    played.now += seconds{1};
    CHECK(played.judge() == 0);
}

TEST_CASE(
    "sends within a few ms count each, where one follows the end of the other", "[crash_book]")
{
    // The server ends at once, and the entry sends the request on in the same millisecond.
    played_book played;
    for (int i = 0; i < 3; ++i) {
        const auto server = played.crash({});
        played.now -= seconds{1};
        const auto sent = played.now;
        played.now += milliseconds{1};
        played.book.note_lost(ending, server, sent, played.now);
    }
    played.now += seconds{1};
    CHECK(played.judge() == 1);
}

TEST_CASE("two requests that end servers are both found", "[crash_book]")
{
    const request_fingerprint second{4};
    played_book played;
    for (int i = 0; i < 4; ++i) {
        played.crash({ending});
        played.crash({second});
        played.judge();
    }
    CHECK(played.book.is_barred(ending));
    CHECK(played.book.is_barred(second));
}

TEST_CASE("a barred request is let in when it has not come for long", "[crash_book]")
{
    played_book played;
    for (int i = 0; i < 3; ++i) {
        played.crash({ending});
    }
    REQUIRE(played.judge() == 1);
    played.now += minutes{9};
    played.book.note_refused(ending, played.now);
    played.now += minutes{9};
    played.judge();
    CHECK(played.book.is_barred(ending));
    played.now += minutes{2};
    played.judge();
    CHECK(!played.book.is_barred(ending));
    CHECK(!played.book.has_suspects());
}

TEST_CASE("what callers make an entry remember is bounded", "[crash_book]")
{
    played_book played;
    for (std::uint64_t i = 0; i < 5000; ++i) {
        played.book.hear_barred(
            {request_fingerprint{i + 1}, milliseconds{0}, milliseconds{0}}, played.now);
        played.now += milliseconds{20};
        played.judge();
    }
    CHECK(played.book.barred_count() <= 2048);
    CHECK(played.book.is_barred(request_fingerprint{5000}));
    CHECK(played.book.tell_barred(16, played.now).size() == 16);
}

TEST_CASE("prints tell callers, paths and bodies apart, and attempts not", "[request_print]")
{
    const request_content one{"org", "POST", "h", "/talk/1", "question"};
    CHECK(print_of(one) == print_of(one));
    CHECK(print_of(one) != print_of({"other", "POST", "h", "/talk/1", "question"}));
    CHECK(print_of(one) != print_of({"org", "POST", "h", "/talk/2", "question"}));
    CHECK(print_of(one) != print_of({"org", "POST", "h", "/talk/1", "another"}));
    // No two fields run into each other.
    CHECK(print_of(one) != print_of({"orgPOST", "", "h", "/talk/1", "question"}));
    CHECK(to_string(request_fingerprint{0xab}) == "00000000000000ab");
}

} // namespace reedramp::routing
