#include <string>

#include <catch2/catch.hpp>

#include "routing/crash_tracker.hpp"

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr request_fingerprint ending{1};
/// Time from a send until its server crashes.
constexpr milliseconds in_flight{60};

/// A crash tracker and the simulated crashes of a test, one second apart.
struct crash_simulation {
    crash_tracker tracker{crash_options{}};
    time_point now{seconds{1000}};
    std::uint64_t next_harmless = 1000;
    int servers = 0;

    /// Simulates the crash of a new server with `running` and two harmless requests in flight,
    /// which are in no other crash.
    auto crash(const std::vector<request_fingerprint>& running) -> server_instance
    {
        this->servers += 1;
        const server_instance server{common::server_id{"s-" + std::to_string(this->servers)}};
        for (const auto fingerprint : running) {
            this->tracker.note_lost(fingerprint, server, this->now - in_flight, this->now);
        }
        for (int i = 0; i < 2; ++i) {
            this->next_harmless += 1;
            this->tracker.note_lost(
                request_fingerprint{this->next_harmless}, server, this->now - in_flight, this->now);
        }
        this->now += seconds{1};
        return server;
    }

    auto find_barred() -> std::size_t { return this->tracker.find_barred(this->now).size(); }
};

} // namespace

TEST_CASE("a request is barred at its third crash, after the settling time", "[crash_book]")
{
    crash_simulation simulation;
    simulation.crash({ending});
    simulation.crash({ending});
    CHECK(simulation.find_barred() == 0);
    simulation.crash({ending});
    simulation.now -= milliseconds{900};
    // Another entry's reports on the other requests in flight may not have arrived.
    CHECK(simulation.find_barred() == 0);
    simulation.now += milliseconds{300};
    const auto found = simulation.tracker.find_barred(simulation.now);
    REQUIRE(found.size() == 1);
    CHECK(found.front().fingerprint == ending);
    CHECK(found.front().crashes == 3);
    CHECK(found.front().others == 0);
    CHECK(simulation.tracker.is_barred(ending));
    // The other requests in these crashes are no longer suspects.
    CHECK(simulation.tracker.barred_count() == 1);
    CHECK(simulation.find_barred() == 0);
}

TEST_CASE(
    "requests involved in the same crashes are distinguished only by a further crash",
    "[crash_book]")
{
    // A harmless request is lost with three servers because each time it was resent to the server
    // that the other request crashed next.
    const request_fingerprint harmless{2};
    crash_simulation simulation;
    for (int i = 0; i < 3; ++i) {
        simulation.crash({ending, harmless});
    }
    CHECK(simulation.find_barred() == 0);
    simulation.crash({ending});
    CHECK(simulation.find_barred() == 1);
    CHECK(simulation.tracker.is_barred(ending));
    CHECK(!simulation.tracker.is_barred(harmless));
}

TEST_CASE("a request that was served is no suspect and is no longer barred", "[crash_book]")
{
    crash_simulation simulation;
    const server_instance sound{common::server_id{"sound"}};
    simulation.crash({ending});
    simulation.crash({ending});
    simulation.tracker.note_served(ending, sound, simulation.now);
    simulation.now += milliseconds{1};
    simulation.crash({ending});
    CHECK(simulation.find_barred() == 0);
    simulation.crash({ending});
    simulation.crash({ending});
    CHECK(simulation.find_barred() == 1);
    // One of its copies, which was in flight, is answered completely.
    simulation.tracker.note_served(ending, sound, simulation.now);
    CHECK(!simulation.tracker.is_barred(ending));
    // A peer that does not know this yet still reports the request as barred.
    simulation.now += milliseconds{100};
    CHECK(!simulation.tracker.apply_barred(
        {ending, milliseconds{500}, milliseconds{10}}, simulation.now));
    CHECK(simulation.tracker.apply_barred(
        {ending, milliseconds{50}, milliseconds{10}}, simulation.now));
}

TEST_CASE("broken connections do not count as crashes", "[crash_book]")
{
    // A server aborts responses, or a network closes connections, while the server keeps serving
    // others.
    crash_simulation simulation;
    for (int i = 0; i < 8; ++i) {
        const server_instance server{common::server_id{"flaky-" + std::to_string(i)}};
        simulation.tracker.note_lost(ending, server, simulation.now - in_flight, simulation.now);
        simulation.now += seconds{1};
    }
    CHECK(simulation.find_barred() == 0);
    // The server still serves, so only its connections were lost at that time.
    const server_instance alive{common::server_id{"alive"}};
    for (int i = 0; i < 3; ++i) {
        const auto server = simulation.crash({ending});
        simulation.tracker.note_served(request_fingerprint{7}, server, simulation.now);
    }
    CHECK(simulation.find_barred() == 0);
    // The servers where it was lost accept no connections.
    for (int i = 0; i < 3; ++i) {
        simulation.tracker.note_down(
            server_instance{common::server_id{"flaky-" + std::to_string(i)}}, simulation.now);
    }
    CHECK(simulation.find_barred() == 1);
}

TEST_CASE("other crashes raise the number of crashes needed, up to a limit", "[crash_book]")
{
    crash_simulation simulation;
    for (int i = 0; i < 5; ++i) {
        CHECK(simulation.find_barred() == 0);
        simulation.crash({ending});
        simulation.crash({});
        simulation.crash({});
    }
    simulation.crash({ending});
    const auto found = simulation.tracker.find_barred(simulation.now);
    REQUIRE(found.size() == 1);
    CHECK(found.front().crashes == 6);
    CHECK(found.front().others == 10);
}

TEST_CASE("many copies of a harmless request in one failing rack do not bar it", "[crash_book]")
{
    const request_fingerprint common_one{3};
    crash_simulation simulation;
    for (int i = 0; i < 6; ++i) {
        simulation.crash({common_one});
        simulation.now -= seconds{1};
    }
    simulation.now += seconds{1};
    CHECK(simulation.find_barred() == 0);
}

TEST_CASE(
    "crashes within a few ms count separately if each send followed the previous crash",
    "[crash_book]")
{
    // The server crashes at once, and the entry resends the request within the same millisecond.
    crash_simulation simulation;
    for (int i = 0; i < 3; ++i) {
        const auto server = simulation.crash({});
        simulation.now -= seconds{1};
        const auto sent = simulation.now;
        simulation.now += milliseconds{1};
        simulation.tracker.note_lost(ending, server, sent, simulation.now);
    }
    simulation.now += seconds{1};
    CHECK(simulation.find_barred() == 1);
}

TEST_CASE("two requests that crash servers are both detected", "[crash_book]")
{
    const request_fingerprint second{4};
    crash_simulation simulation;
    for (int i = 0; i < 4; ++i) {
        simulation.crash({ending});
        simulation.crash({second});
        simulation.find_barred();
    }
    CHECK(simulation.tracker.is_barred(ending));
    CHECK(simulation.tracker.is_barred(second));
}

TEST_CASE("a barred request is accepted again after a long time without it", "[crash_book]")
{
    crash_simulation simulation;
    for (int i = 0; i < 3; ++i) {
        simulation.crash({ending});
    }
    REQUIRE(simulation.find_barred() == 1);
    simulation.now += minutes{9};
    simulation.tracker.note_refused(ending, simulation.now);
    simulation.now += minutes{9};
    simulation.find_barred();
    CHECK(simulation.tracker.is_barred(ending));
    simulation.now += minutes{2};
    simulation.find_barred();
    CHECK(!simulation.tracker.is_barred(ending));
    CHECK(!simulation.tracker.has_suspects());
}

TEST_CASE("the memory that callers can make an entry use is bounded", "[crash_book]")
{
    crash_simulation simulation;
    for (std::uint64_t i = 0; i < 5000; ++i) {
        simulation.tracker.apply_barred(
            {request_fingerprint{i + 1}, milliseconds{0}, milliseconds{0}}, simulation.now);
        simulation.now += milliseconds{20};
        simulation.find_barred();
    }
    CHECK(simulation.tracker.barred_count() <= 2048);
    CHECK(simulation.tracker.is_barred(request_fingerprint{5000}));
    CHECK(simulation.tracker.make_barred_reports(16, simulation.now).size() == 16);
}

TEST_CASE("fingerprints distinguish callers, paths and bodies, but not attempts", "[request_print]")
{
    const request_content one{"org", "POST", "h", "/talk/1", "question"};
    CHECK(fingerprint_of(one) == fingerprint_of(one));
    CHECK(fingerprint_of(one) != fingerprint_of({"other", "POST", "h", "/talk/1", "question"}));
    CHECK(fingerprint_of(one) != fingerprint_of({"org", "POST", "h", "/talk/2", "question"}));
    CHECK(fingerprint_of(one) != fingerprint_of({"org", "POST", "h", "/talk/1", "another"}));
    // Adjacent fields are not confused.
    CHECK(fingerprint_of(one) != fingerprint_of({"orgPOST", "", "h", "/talk/1", "question"}));
    CHECK(to_string(request_fingerprint{0xab}) == "00000000000000ab");
}

} // namespace reedramp::routing
