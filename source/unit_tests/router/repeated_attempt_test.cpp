#include <catch2/catch.hpp>

#include "router_fixture.hpp"

namespace reedramp::router {

using namespace testing;

namespace {

constexpr int unknown_outcome = 502;
constexpr int unavailable = 503;

/// Asks under the same attempt id each time.
auto ask_again(router_fixture& fixture, const std::string& path) -> std::shared_ptr<caller>
{
    return fixture.ask(path, {{"Reedramp-Attempt-Id", "repeated"}});
}

} // namespace

// Guards against a second run of a request that may run once, when a proxy or a library sends the
// same attempt again.
TEST_CASE("an attempt that may have run is not run again when it comes again", "[repeated]")
{
    router_fixture fixture;
    const auto first = ask_again(fixture, "/once/1");
    CHECK(ask_again(fixture, "/once/1")->status() == unknown_outcome);
    CHECK(fixture.sends() == 1);
    fixture.last().answer(200, "first");
    CHECK(first->status() == 200);
    CHECK(ask_again(fixture, "/once/1")->status() == unknown_outcome);
    CHECK(fixture.sends() == 1);
    CHECK(fixture.core->counters.repeated_attempts.value() == 2);
}

// Guards against the same where the caller of the first copy has left, and its server may run it.
TEST_CASE("an attempt whose caller left after it was sent is not run again", "[repeated]")
{
    router_fixture fixture;
    const auto sent = ask_again(fixture, "/once/1");
    sent->leave_action();
    CHECK(ask_again(fixture, "/once/1")->status() == unknown_outcome);
    CHECK(fixture.sends() == 1);
}

// Guards against a late copy that runs after its caller was told that the attempt never will.
TEST_CASE("an attempt that was refused is refused again", "[repeated]")
{
    router_fixture fixture;
    const auto first = ask_again(fixture, "/once/1");
    while (first->status() == 0) {
        fixture.last().lose(common::execution::not_run);
    }
    CHECK(first->status() == unavailable);
    const auto sends = fixture.sends();
    CHECK(ask_again(fixture, "/once/1")->status() == unavailable);
    CHECK(fixture.sends() == sends);
}

// Guards against a copy that is told "not run" while its first is under way, and against a further
// copy that runs because the one before it was refused for its own reasons.
TEST_CASE("a copy is not refused for its own reasons while the attempt is under way", "[repeated]")
{
    router_fixture fixture;
    ask_again(fixture, "/once/1");
    const auto without_key =
        fixture.ask("/once/1", {{"Reedramp-Attempt-Id", "repeated"}, {"Reedramp-Key", "unknown"}});
    CHECK(without_key->status() == unknown_outcome);
    CHECK(ask_again(fixture, "/nowhere/1")->status() == unknown_outcome);
    fixture.core->announce_end(fixture.now);
    CHECK(ask_again(fixture, "/once/1")->status() == unknown_outcome);
    CHECK(fixture.sends() == 1);
}

// Guards against losing a request whose first copy was not let in.
TEST_CASE("an attempt that was not let in is served when it comes with its key", "[repeated]")
{
    router_fixture fixture;
    const auto without_key =
        fixture.ask("/once/1", {{"Reedramp-Attempt-Id", "repeated"}, {"Reedramp-Key", "unknown"}});
    CHECK(without_key->status() == 401);
    const auto asked = ask_again(fixture, "/once/1");
    CHECK(fixture.sends() == 1);
    CHECK(ask_again(fixture, "/once/1")->status() == unknown_outcome);
    fixture.last().answer(200, "answer");
    CHECK(asked->status() == 200);
    CHECK(fixture.sends() == 1);
}

TEST_CASE("an attempt that may be repeated is served each time that it comes", "[repeated]")
{
    router_fixture fixture;
    for (std::size_t i = 1; i <= 2; ++i) {
        const auto asked = ask_again(fixture, "/again/1");
        CHECK(fixture.sends() == i);
        fixture.last().answer(200, "answer");
        CHECK(asked->status() == 200);
    }
}

} // namespace reedramp::router
