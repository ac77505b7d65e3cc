#include <catch2/catch.hpp>

#include "router_fixture.hpp"

namespace reedramp::router::testing {

namespace {

constexpr auto stream = "/stream/1";
constexpr auto again = "/again/1";
constexpr std::size_t kilobyte = 1024;

auto bounded(std::size_t budget) -> router_options
{
    auto options = ample_retries();
    options.streams.held.budget = budget;
    return options;
}

auto slow_caller() -> std::shared_ptr<caller>
{
    auto out = std::make_shared<caller>();
    out->reads_slowly = true;
    return out;
}

auto event(int id, std::size_t bytes) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: " + std::string(bytes, 'x') + "\n\n";
}

/// Starts a stream and returns its call to the server.
auto begin_stream(router_fixture& fixture, const std::shared_ptr<caller>& out) -> sent_request&
{
    fixture.ask(out, stream);
    fixture.last().take();
    fixture.last().head(200, {{"Reedramp-Confidence", "100"}});
    return fixture.last();
}

} // namespace

// Guards against holding a whole response for each caller that reads slowly.
TEST_CASE("a server's response is not read while its caller's backlog is high", "[slow_caller]")
{
    router_fixture fixture{bounded(1024 * kilobyte)};
    const auto out = slow_caller();
    auto& server = begin_stream(fixture, out);
    server.chunk(event(0, 40 * kilobyte));
    CHECK_FALSE(server.is_paused);
    server.chunk(event(1, 40 * kilobyte));
    CHECK(server.is_paused);
    CHECK(fixture.core->streams->total() == out->unread);
    out->read(60 * kilobyte);
    CHECK(server.is_paused);
    out->read(10 * kilobyte);
    CHECK_FALSE(server.is_paused);
    server.chunk(event(2, 10));
    server.end();
    out->read(out->unread);
    CHECK(out->is_finished);
    CHECK(out->events == event(0, 40 * kilobyte) + event(1, 40 * kilobyte) + event(2, 10));
    CHECK(fixture.core->streams->total() == 0);
}

// Guards against a server that cuts its response since nobody has read it for seconds.
TEST_CASE("a pause ends after two seconds, and the entry buffers further", "[slow_caller]")
{
    router_fixture fixture{bounded(1024 * kilobyte)};
    const auto out = slow_caller();
    auto& server = begin_stream(fixture, out);
    server.chunk(event(0, 80 * kilobyte));
    REQUIRE(server.is_paused);
    fixture.advance(milliseconds{1999});
    CHECK(server.is_paused);
    fixture.advance(milliseconds{1});
    CHECK_FALSE(server.is_paused);
    server.chunk(event(1, 80 * kilobyte));
    CHECK_FALSE(server.is_paused);
    out->read(out->unread);
    server.chunk(event(2, 80 * kilobyte));
    CHECK(server.pauses == 2);
}

// Guards against taking the entry's own pause for a stall of the server, which would start the
// stream a second time.
TEST_CASE("a paused stream is not resumed at another server", "[slow_caller]")
{
    router_fixture fixture{bounded(1024 * kilobyte)};
    const auto out = slow_caller();
    auto& server = begin_stream(fixture, out);
    server.chunk(event(0, 80 * kilobyte));
    fixture.advance(milliseconds{1900});
    out->read(out->unread);
    fixture.advance(milliseconds{1100});
    CHECK(fixture.sends() == 1);
    // From here on the silence is the server's.
    fixture.advance(milliseconds{1000});
    CHECK(fixture.sends() == 2);
}

// Guards against a server that counts as slow because a caller reads slowly.
TEST_CASE("pauses for a slow caller are no sample of the server's speed", "[slow_caller]")
{
    router_fixture fixture{bounded(1024 * kilobyte)};
    const auto out = slow_caller();
    auto& server = begin_stream(fixture, out);
    const routing::server_instance sender{
        common::server_id{server.header("Reedramp-Expect-Server")}};
    server.chunk(event(0, 80 * kilobyte));
    REQUIRE(server.is_paused);
    fixture.advance(milliseconds{1900});
    out->read(out->unread);
    for (int id = 1; id < 10; ++id) {
        server.chunk(event(id, 10));
    }
    server.end();
    const auto& speeds = fixture.core->speeds[common::service_name{"engines"}];
    CHECK(speeds.own_pace(sender).samples == 0.0);
}

// Guards against delaying or changing what callers get that read.
TEST_CASE("a caller that reads is never waited for", "[slow_caller]")
{
    router_fixture fixture{bounded(100 * kilobyte)};
    const auto out = std::make_shared<caller>();
    auto& server = begin_stream(fixture, out);
    std::string all;
    for (int id = 0; id < 50; ++id) {
        all += event(id, 30 * kilobyte);
        server.chunk(event(id, 30 * kilobyte));
    }
    server.end();
    CHECK(server.pauses == 0);
    CHECK(out->events == all);
    CHECK(out->is_finished);
}

// Guards against a plain response that is held but not counted: while it is received, and while its
// caller reads it slowly.
TEST_CASE("a buffered plain response counts as held", "[slow_caller]")
{
    router_fixture fixture{bounded(1024 * kilobyte)};
    const auto out = slow_caller();
    fixture.ask(out, again);
    fixture.last().take();
    fixture.last().head(200);
    fixture.last().chunk(std::string(100 * kilobyte, 'x'));
    CHECK(fixture.core->streams->total() == 100 * kilobyte);
    fixture.last().end();
    CHECK(fixture.core->in_flight() == 0);
    CHECK(fixture.core->streams->total() == 100 * kilobyte);
    out->read(70 * kilobyte);
    fixture.advance(milliseconds{250});
    CHECK(fixture.core->streams->total() == 30 * kilobyte);
    out->read(30 * kilobyte);
    CHECK(fixture.core->streams->total() == 0);
}

// Guards against an entry that is killed because it holds too much for callers that do not read.
TEST_CASE("beyond the budget the stream of the caller that stopped is given up", "[slow_caller]")
{
    router_fixture fixture{bounded(200 * kilobyte)};
    const auto stopped = slow_caller();
    const auto slow = slow_caller();
    auto& first = begin_stream(fixture, stopped);
    first.chunk(event(0, 60 * kilobyte));
    fixture.advance(milliseconds{1000});
    auto& second = begin_stream(fixture, slow);
    second.chunk(event(0, 50 * kilobyte));
    second.chunk(event(1, 89 * kilobyte));
    CHECK_FALSE(stopped->is_aborted);
    CHECK(fixture.core->streams->is_crowded());
    second.chunk(event(2, 10 * kilobyte));
    CHECK(stopped->is_aborted);
    CHECK_FALSE(stopped->is_finished);
    CHECK(first.is_cancelled);
    CHECK_FALSE(slow->is_aborted);
    CHECK_FALSE(second.is_cancelled);
    CHECK(fixture.core->streams->total() == slow->unread);
    const auto metrics = fixture.core->series.prometheus_text();
    CHECK(metrics.find("\nrouter_streams_given_up_total 1\n") != std::string::npos);
    CHECK(metrics.find("\nrouter_pauses_total 1\n") != std::string::npos);
    CHECK(fixture.sends() == 2);
    CHECK(fixture.core->in_flight() == 1);
}

// Guards against giving up a request whose caller is not slow: its response arrives, but is kept
// until it is whole.
TEST_CASE("a response that still arrives is not idle", "[slow_caller]")
{
    router_fixture fixture{bounded(200 * kilobyte)};
    const auto stopped = slow_caller();
    begin_stream(fixture, stopped).chunk(event(0, 60 * kilobyte));
    const auto waiting = fixture.ask(again);
    auto& server = fixture.last();
    server.take();
    server.head(200);
    for (int i = 0; i < 3; ++i) {
        server.chunk(std::string(45 * kilobyte, 'x'));
        fixture.advance(milliseconds{600});
    }
    CHECK_FALSE(stopped->is_aborted);
    server.chunk(std::string(10 * kilobyte, 'x'));
    CHECK(stopped->is_aborted);
    server.end();
    CHECK(waiting->status() == 200);
}

// Guards against a response that can't be given up any more because its server has ended it.
TEST_CASE("a response that ended at its server is given up while it is unread", "[slow_caller]")
{
    router_fixture fixture{bounded(200 * kilobyte)};
    const auto plain = slow_caller();
    fixture.ask(plain, again);
    fixture.last().answer(200, std::string(150 * kilobyte, 'x'));
    const auto other = slow_caller();
    fixture.ask(other, again);
    fixture.last().answer(200, std::string(60 * kilobyte, 'x'));
    CHECK(plain->is_dropped);
    CHECK_FALSE(other->is_dropped);
    CHECK(fixture.core->streams->total() == 60 * kilobyte);
}

// Guards against a cut connection where a proper response can still be given: nothing of this one
// has been sent. It must not claim that the request has not run.
TEST_CASE("a request is ended with a response if its caller has nothing yet", "[slow_caller]")
{
    router_fixture fixture{bounded(200 * kilobyte)};
    const auto out = slow_caller();
    fixture.ask(out, again);
    fixture.last().take();
    fixture.last().head(200);
    fixture.last().chunk(std::string(201 * kilobyte, 'x'));
    CHECK(out->status() == 502);
    CHECK_FALSE(out->is_dropped);
    CHECK(fixture.last().is_cancelled);
    CHECK(fixture.core->streams->total() == 0);
}

// Guards against an entry that is killed because servers do not read large requests.
TEST_CASE("a request's body counts as held until its server has taken it", "[slow_caller]")
{
    router_fixture fixture{bounded(200 * kilobyte)};
    const auto out = fixture.ask(again, {}, std::string(40 * kilobyte, 'x'));
    CHECK(fixture.core->streams->total() == 40 * kilobyte);
    fixture.last().take();
    CHECK(fixture.core->streams->total() == 0);
    fixture.last().answer(200, "whole");
    CHECK(out->status() == 200);

    const auto stuck = fixture.ask(again, {}, std::string(100 * kilobyte, 'x'));
    auto& unread = fixture.last();
    fixture.advance(milliseconds{1000});
    const auto moving = fixture.ask(again, {}, std::string(101 * kilobyte, 'x'));
    CHECK(stuck->status() == 502);
    CHECK(unread.is_cancelled);
    CHECK(moving->status() == 0);
    CHECK(fixture.core->streams->total() == 101 * kilobyte);
}

// Guards against new streams that are admitted at the expense of those that have begun, and against
// callers that are sent away for longer than they can wait.
TEST_CASE("new requests are refused for a while after a stream was given up", "[slow_caller]")
{
    router_fixture fixture{bounded(100 * kilobyte)};
    begin_stream(fixture, slow_caller()).chunk(event(0, 101 * kilobyte));
    const auto sends = fixture.sends();
    const auto refused = fixture.ask(stream);
    CHECK(refused->status() == 503);
    CHECK(http::find_header(refused->answer->headers, "Retry-After") == "1.000");
    const auto hurried = fixture.ask(stream, {{"Reedramp-Deadline-Ms", "1500"}});
    CHECK(http::find_header(hurried->answer->headers, "Retry-After") == "0.500");
    CHECK(fixture.sends() == sends);
    fixture.advance(milliseconds{1000});
    CHECK(fixture.ask(stream)->status() == 0);
    CHECK(fixture.sends() == sends + 1);
}

// Guards against a change where the process's memory is unknown.
TEST_CASE("without a budget nothing is paused or counted", "[slow_caller]")
{
    router_fixture fixture;
    const auto out = slow_caller();
    auto& server = begin_stream(fixture, out);
    server.chunk(event(0, 1024 * kilobyte));
    CHECK(server.pauses == 0);
    CHECK(fixture.core->streams->total() == 0);
    server.end();
    CHECK(out->is_finished);
}

} // namespace reedramp::router::testing
