#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "router_fixture.hpp"

namespace reedramp::router::testing {

using common::execution;

namespace {

constexpr auto once = "/once/1";
constexpr auto again = "/again/1";
constexpr auto stream = "/stream/1";

auto event(int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

} // namespace

TEST_CASE("a server's response reaches the caller unchanged", "[relay]")
{
    router_fixture fixture;
    const auto out = fixture.ask(once);
    REQUIRE(fixture.sends() == 1);
    CHECK(fixture.last().request.target == once);
    CHECK(fixture.last().request.body == "body");
    CHECK(fixture.last().header("Reedramp-Organisation") == "org");
    CHECK(fixture.last().header("Reedramp-Key").empty());
    fixture.last().answer(200, "whole", {{"X-Own", "1"}});
    CHECK(out->status() == 200);
    CHECK(out->answer->body == "whole");
    CHECK(http::find_header(out->answer->headers, "X-Own") == "1");
    CHECK(fixture.core->in_flight() == 0);
}

/// What the first server does with a request, and what must follow.
struct fault_row {
    const char* what;
    const char* path;
    std::function<auto(sent_request& first)->void> fault;
    /// Total sends if the second server responds with 200.
    std::size_t sends;
    int status;
};

TEST_CASE("a further send depends on what is known of the attempt", "[relay]")
{
    // After a connection is lost, the request may still run at its server. If a non-idempotent one
    // were sent again it could run twice, and if it were reported as not run its caller would send
    // it again. Only a request that was never sent, or that the server declares not executed, may
    // go to another server.
    const auto lost = [](sent_request& first) {
        first.lose(execution::unknown);
    };
    const auto unsent = [](sent_request& first) {
        first.lose(execution::not_run);
    };
    const auto full = [](sent_request& first) {
        first.answer(503, "", {{"Reedramp-Not-Executed", "1"}, {"Reedramp-Signature", ""}});
    };
    const auto reused = [](sent_request& first) {
        first.answer(421, "", {{"Reedramp-Signature", ""}});
    };
    const auto failed = [](sent_request& first) {
        first.answer(500, "own");
    };
    const auto unsigned_ok = [](sent_request& first) {
        first.answer(200, "whose", {{"Reedramp-Signature", ""}});
    };
    const auto foreign = [](sent_request& first) {
        first.answer(200, "other's", {{"Reedramp-Attempt-Id", "another"}});
    };
    const auto encoded = [](sent_request& first) {
        first.answer(200, "zip", {{"Content-Encoding", "gzip"}});
    };
    const std::vector<fault_row> rows{
        {"lost", once, lost, 1, 502},
        {"lost", again, lost, 2, 200},
        {"never sent", once, unsent, 2, 200},
        {"never sent", again, unsent, 2, 200},
        {"full", once, full, 2, 200},
        {"full", again, full, 2, 200},
        {"address reused", once, reused, 2, 200},
        {"address reused", again, reused, 2, 200},
        {"failed", once, failed, 1, 500},
        {"failed", again, failed, 2, 200},
        {"not signed", once, unsigned_ok, 1, 502},
        {"not signed", again, unsigned_ok, 2, 200},
        {"another's answer", once, foreign, 1, 502},
        {"another's answer", again, foreign, 2, 200},
        {"encoded", once, encoded, 1, 502},
    };
    for (const auto& row : rows) {
        INFO(row.what << " on " << row.path);
        router_fixture fixture;
        const auto out = fixture.ask(row.path);
        const auto first = fixture.client->sent.front();
        row.fault(*first);
        CHECK(fixture.sends() == row.sends);
        if (fixture.sends() == 2) {
            CHECK(
                fixture.last().header("Reedramp-Expect-Server") !=
                first->header("Reedramp-Expect-Server"));
            fixture.last().answer(200, "second");
        }
        CHECK(out->status() == row.status);
        CHECK(fixture.core->in_flight() == 0);
    }
}

TEST_CASE("a server's failure response is forwarded if no attempt succeeds", "[relay]")
{
    router_fixture fixture;
    const auto out = fixture.ask(again);
    fixture.last().answer(500, "first");
    fixture.last().answer(500, "second");
    CHECK(fixture.sends() == 2);
    CHECK(out->status() == 500);
    CHECK(out->answer->body == "second");
}

TEST_CASE("a request refused by all servers is refused with a time to return", "[relay]")
{
    // Every server is full. None has run the request, so the caller may safely retry.
    router_fixture fixture;
    const auto out = fixture.ask(once);
    while (out->status() == 0) {
        fixture.last().answer(503, "", {{"Reedramp-Not-Executed", "1"}});
    }
    CHECK(fixture.sends() == 3);
    CHECK(out->status() == 503);
    CHECK(http::find_header(out->answer->headers, "Retry-After") == "0.250");
    CHECK_FALSE(http::find_header(out->answer->headers, "Reedramp-Signature"));
}

TEST_CASE("a stream lost before its head is not reported as not run", "[relay]")
{
    // Each server accepts the request, works on it and loses its connection before the head of the
    // response. A caller would rely on a report that it has not run.
    router_fixture fixture;
    const auto out = fixture.ask(stream);
    while (out->status() == 0) {
        fixture.last().lose(execution::unknown);
    }
    CHECK(out->status() == 502);
    CHECK_FALSE(http::find_header(out->answer->headers, "Retry-After"));
}

TEST_CASE("a server whose address is reused gets no more requests", "[relay]")
{
    // A server crashed and another one got its address. Its registration remains listed for
    // seconds, and each request for it would cost a round trip.
    router_fixture fixture;
    fixture.ask(once);
    const common::server_id gone{fixture.last().header("Reedramp-Expect-Server")};
    fixture.last().answer(421, "");
    CHECK(fixture.core->servers.find(gone) == nullptr);
}

TEST_CASE("a restarted server's refusal does not cover requests to its former instance", "[relay]")
{
    // The only server accepts a request and crashes. It restarts under its id and refuses the next
    // send as "not executed". That holds only for the second send: the first may have run.
    router_fixture fixture;
    for (const auto* id : {"b", "c"}) {
        fixture.core->servers.mark_leaving(common::server_id{id});
    }
    const auto restart = [&fixture] {
        fixture.add_server("a", "v1", 1000 + fixture.sends());
    };
    restart();
    SECTION("an idempotent request is sent to the new instance, whose refusal proves nothing")
    {
        const auto out = fixture.ask(again);
        fixture.last().lose(execution::unknown);
        CHECK(out->status() == 502);
        const auto repeated = fixture.ask(again);
        const auto first = fixture.client->sent.back();
        restart();
        first->lose(execution::unknown);
        REQUIRE(fixture.sends() == 3);
        fixture.last().answer(503, "", {{"Reedramp-Not-Executed", "1"}});
        CHECK(repeated->status() == 502);
        CHECK_FALSE(http::find_header(repeated->answer->headers, "Retry-After"));
    }
    SECTION("a non-idempotent request is not sent again")
    {
        const auto out = fixture.ask(once);
        const auto first = fixture.client->sent.back();
        restart();
        first->lose(execution::unknown);
        CHECK(fixture.sends() == 1);
        CHECK(out->status() == 502);
    }
    SECTION("a request of which nothing was sent goes to the new instance")
    {
        // The connection was closed before a byte of the request was sent, so the request is still
        // not run.
        const auto out = fixture.ask(once);
        const auto first = fixture.client->sent.back();
        restart();
        first->lose(execution::not_run);
        REQUIRE(fixture.sends() == 2);
        fixture.last().answer(200, "answer");
        CHECK(out->status() == 200);
    }
    SECTION("a request refused by the former instance goes to the new one")
    {
        // The refusal arrived on the connection of the request, which ends with the process that
        // accepted it, so the request is still not run.
        const auto out = fixture.ask(once);
        const auto first = fixture.client->sent.back();
        restart();
        first->answer(503, "", {{"Reedramp-Not-Executed", "1"}});
        REQUIRE(fixture.sends() == 2);
        fixture.last().answer(200, "answer");
        CHECK(out->status() == 200);
    }
    SECTION("a misdirected request concerns only the former instance")
    {
        fixture.ask(once);
        const auto first = fixture.client->sent.back();
        restart();
        first->answer(421, "");
        CHECK(fixture.core->servers.find(common::server_id{"a"}) != nullptr);
    }
}

TEST_CASE("a broken stream is resumed after its last complete event", "[relay]")
{
    // The server breaks off inside event 2. The caller has the head and two events. It must get the
    // rest from another server as one stream, with no event repeated, lost or merged.
    router_fixture fixture;
    const auto out = fixture.ask(stream);
    const auto first = fixture.client->sent.front();
    first->head(200, {{"Reedramp-Confidence", "90"}, {"X-Own", "first"}});
    first->chunk(event(0) + event(1) + "id: 2\nda");
    first->lose(execution::unknown);
    REQUIRE(fixture.sends() == 2);
    CHECK(fixture.last().header("Last-Event-Id") == "1");
    CHECK(fixture.last().header("Reedramp-Model") == first->header("Reedramp-Model"));
    fixture.last().head(200, {{"X-Own", "second"}});
    fixture.last().chunk(event(2) + event(3));
    fixture.last().end();
    CHECK(out->events == event(0) + event(1) + event(2) + event(3));
    CHECK(http::find_header(out->answer->headers, "X-Own") == "first");
    CHECK(out->is_finished);
}

TEST_CASE("a stream that can't be resumed is aborted, never ended normally", "[relay]")
{
    router_fixture fixture;
    const auto out = fixture.ask(stream);
    for (int id = 0; id < 3; ++id) {
        fixture.last().head(200, {{"Reedramp-Confidence", "90"}});
        fixture.last().chunk(event(id));
        fixture.last().lose(execution::unknown);
    }
    CHECK(fixture.sends() == 3);
    CHECK(out->is_aborted);
    CHECK_FALSE(out->is_finished);
}

TEST_CASE("a silent stream is cancelled before it is resumed at another server", "[relay]")
{
    // The server hangs in the middle of the stream with its connection open. Without the
    // cancellation, two servers would work on one request.
    router_fixture fixture;
    const auto out = fixture.ask(stream);
    const auto first = fixture.client->sent.front();
    first->head(200, {{"Reedramp-Confidence", "90"}});
    first->chunk(event(0));
    fixture.advance(milliseconds{900});
    CHECK(fixture.sends() == 1);
    fixture.advance(milliseconds{1000});
    REQUIRE(fixture.sends() == 2);
    CHECK(first->is_cancelled);
    first->chunk(event(1));
    CHECK(out->events == event(0));
}

// Guards against a server that keeps a stream for its whole time with bytes that are no events.
TEST_CASE("a stream that gets bytes without events is resumed at another server", "[relay]")
{
    router_fixture fixture;
    const auto out = fixture.ask(stream);
    const auto first = fixture.client->sent.front();
    first->head(200, {{"Reedramp-Confidence", "90"}});
    first->chunk(event(0));
    for (int i = 0; i < 20 && fixture.sends() == 1; ++i) {
        fixture.advance(milliseconds{100});
        first->chunk(": nothing\n\n");
    }
    CHECK(fixture.sends() == 2);
    CHECK(first->is_cancelled);
}

TEST_CASE("a silent stream stays at its server if no further send is allowed", "[relay]")
{
    // All callers of a killed entry return at once, the servers are busy with their prompts, and
    // first events take longer than usual. An entry without retry budget must not abandon streams
    // that are about to start, and report them as broken.
    router_fixture fixture;
    fixture.core->change_retries({.ratio = 0.0, .extra = 0.0});
    const auto out = fixture.ask(stream);
    fixture.advance(seconds{3});
    CHECK(fixture.sends() == 1);
    CHECK(out->status() == 0);
    CHECK_FALSE(fixture.last().is_cancelled);
    fixture.last().head(200, {{"Reedramp-Confidence", "90"}});
    fixture.last().chunk(event(0));
    fixture.last().end();
    CHECK(out->events == event(0));
    CHECK(out->is_finished);
}

TEST_CASE(
    "a stream that stalls repeatedly runs on no more servers than its route allows", "[relay]")
{
    // Some servers accept requests and hang, while their health checks succeed. A stream whose
    // small model's answer was dropped stalls at one after another. Each may have started it, so it
    // must not run on four servers if its route allows three.
    for (const bool has_begun : {false, true}) {
        INFO("heads come " << has_begun);
        router_fixture fixture;
        fixture.add_server("d");
        fixture.add_server("e");
        const auto out = fixture.ask(stream, {{"Reedramp-Deadline-Ms", "9000"}});
        fixture.last().head(200, {{"Reedramp-Confidence", "10"}});
        REQUIRE(fixture.sends() == 2);
        for (int i = 0; i < 3; ++i) {
            if (has_begun && !fixture.last().is_cancelled) {
                fixture.last().head(200, {{"Reedramp-Confidence", "90"}});
            }
            fixture.advance(seconds{2});
        }
        CHECK(fixture.sends() == 3);
        // The last attempt is kept, and its response is still accepted.
        CHECK_FALSE(fixture.last().is_cancelled);
        fixture.last().head(200, {{"Reedramp-Confidence", "90"}});
        fixture.last().chunk(event(0));
        fixture.last().end();
        CHECK(out->is_finished);
    }
}

TEST_CASE("a long prompt has a longer limit for its first event", "[relay]")
{
    // The largest prompts take seconds to process, while the route's mean first event comes after a
    // tenth of a second. With the limit of a silent server, each was started at three servers and
    // finished at none.
    const auto sends_in_two_seconds = [](const std::string& tokens) {
        router_fixture fixture;
        for (int i = 0; i < 50; ++i) {
            fixture.core->speeds[common::service_name{"engines"}].note(
                common::server_id{"z"}, milliseconds{100}, 1000.0);
        }
        const auto out = fixture.ask(stream, {{"Reedramp-Tokens", tokens}});
        fixture.advance(seconds{2});
        return fixture.sends();
    };
    CHECK(sends_in_two_seconds("100,10") == 2);
    CHECK(sends_in_two_seconds("90000,10") == 1);
}

TEST_CASE("a resumed stream keeps the model that its caller chose", "[relay]")
{
    // The check for a larger model replaced the caller's model by the smallest one, which then
    // continued the other model's answer.
    for (const auto mode : {overload::control_mode::on, overload::control_mode::off}) {
        router_fixture fixture;
        fixture.core->overload_control = overload_state{{.mode = mode}};
        fixture.ask(stream, {{"Reedramp-Model", "x"}});
        fixture.last().head(200, {{"Reedramp-Confidence", "5"}});
        fixture.last().chunk(event(0));
        fixture.last().lose(common::execution::unknown);
        REQUIRE(fixture.sends() == 2);
        CHECK(fixture.last().header("Reedramp-Model") == "x");
    }
}

TEST_CASE("a stream of a route without models is passed on", "[relay]")
{
    // The check for a larger model read beyond the end of the route's empty list.
    for (const auto mode : {overload::control_mode::on, overload::control_mode::off}) {
        router_fixture fixture;
        fixture.core->overload_control = overload_state{{.mode = mode}};
        auto rules = rules_of(1000);
        rules.rules.routes.front().models = std::vector<common::model_id>{};
        REQUIRE(fixture.core->apply_rules(std::move(rules)));
        const auto out = fixture.ask(stream);
        fixture.last().head(200, {{"Reedramp-Confidence", "5"}});
        fixture.last().chunk(event(0));
        CHECK(out->events == event(0));
    }
}

TEST_CASE("predicted and real waits are recorded under overload control", "[relay]")
{
    // A choice by wrong expectations would be visible in no series.
    for (const auto mode : {overload::control_mode::on, overload::control_mode::off}) {
        router_fixture fixture;
        fixture.core->overload_control = overload_state{{.mode = mode}};
        constexpr int streams = 40;
        for (int i = 0; i < streams; ++i) {
            fixture.ask(stream);
            fixture.advance(milliseconds{80});
            fixture.last().head(200, {{"Reedramp-Confidence", "90"}});
            fixture.last().chunk(event(0));
            fixture.last().end();
        }
        const auto text = fixture.core->series.prometheus_text();
        const bool is_on = mode == overload::control_mode::on;
        // The first one has no prediction.
        const std::string count = "_wait_ms_count{service=\"engines\"} 39";
        CHECK((text.find("router_predicted" + count) != std::string::npos) == is_on);
        CHECK((text.find("router_real" + count) != std::string::npos) == is_on);
        const auto& speeds = fixture.core->speeds[common::service_name{"engines"}];
        CHECK((speeds.expected_ms(0.0) > 0.0) == is_on);
    }
}

TEST_CASE("a stream is one sample of its server's speed, whatever its length", "[relay]")
{
    // A sample for each event would let one long stream outweigh all others; without one for short
    // streams, services that answer with a few events would never know their servers' speeds.
    struct stream_case {
        int events;
        double samples;
    };

    for (const auto& [events, samples] : {stream_case{1, 0.0}, {2, 1.0}, {7, 1.0}, {30, 1.0}}) {
        router_fixture fixture;
        const auto out = fixture.ask(stream);
        const routing::server_instance server{
            common::server_id{fixture.last().header("Reedramp-Expect-Server")}};
        fixture.last().head(200, {{"Reedramp-Confidence", "90"}});
        for (int i = 0; i < events; ++i) {
            fixture.advance(milliseconds{10});
            fixture.last().chunk(event(i));
        }
        fixture.last().end();
        INFO(events << " events");
        CHECK(out->is_finished);
        const auto& speeds = fixture.core->speeds[common::service_name{"engines"}];
        CHECK(speeds.own_pace(server).samples == samples);
    }
}

TEST_CASE("a resumed stream is more urgent and returns to the server that started it", "[relay]")
{
    // An entry is killed, and all its callers return at once. Callers of started streams notice the
    // pause. The server that generated the beginning still has the whole prompt in its cache; any
    // other one would process it again, after the prompts of all the other returning callers.
    router_fixture fixture;
    const http::header prompt{"Reedramp-Prompt-Parts", "aa:500,bb:9000"};
    const http::header tokens{"Reedramp-Tokens", "9500,100"};
    fixture.ask(stream, {prompt, tokens});
    const auto first_server = fixture.last().header("Reedramp-Expect-Server");
    const auto usual = std::stoi(fixture.last().header("Reedramp-Urgency"));
    // That server has more work than the prompt part shared with other requests would save.
    constexpr double much = 8000.0;
    fixture.core->loads.begin(common::server_id{first_server}, much);
    fixture.ask(stream, {prompt, tokens});
    CHECK(fixture.last().header("Reedramp-Expect-Server") != first_server);
    fixture.ask(stream, {prompt, tokens, {"Last-Event-ID", "4"}});
    CHECK(fixture.last().header("Reedramp-Expect-Server") == first_server);
    CHECK(std::stoi(fixture.last().header("Reedramp-Urgency")) < usual);
}

TEST_CASE("an endless response is abandoned and uses no more memory", "[relay]")
{
    router_fixture fixture;
    fixture.core->options.max_buffered_response = 1000;
    const auto out = fixture.ask(again);
    const auto first = fixture.client->sent.front();
    first->head(200);
    for (int i = 0; i < 11; ++i) {
        first->chunk(std::string(100, 'x'));
    }
    CHECK(first->is_cancelled);
    REQUIRE(fixture.sends() == 2);
    fixture.last().answer(200, "short");
    CHECK(out->answer->body == "short");
}

TEST_CASE("larger models leave retries to requests that lose their server", "[relay]")
{
    router_fixture fixture;
    constexpr auto half = std::uint64_t{1} << 63U;
    fixture.core->hooks.random = [] {
        return half;
    };
    fixture.core->change_retries({.ratio = 0.9, .extra = 0.0});
    // At this rate 28 retries are earned in the time for which they can be used.
    for (int i = 0; i < 400; ++i) {
        fixture.advance(milliseconds{50});
        fixture.ask(again);
        fixture.last().answer(200, "whole");
    }
    const auto ask_larger = [&fixture] {
        const auto before = fixture.sends();
        fixture.ask(stream);
        fixture.last().head(200, {{"Reedramp-Confidence", "10"}});
        return fixture.sends() == before + 2;
    };
    int asked = 0;
    while (ask_larger()) {
        ++asked;
    }
    // They have earned some more themselves, and leave a fifth.
    const auto earned = 28.1 + 0.702 * asked;
    CHECK(asked >= 20);
    CHECK(asked <= 0.8 * earned + 1.0);
    const auto before = fixture.sends();
    fixture.last().lose(execution::unknown);
    CHECK(fixture.sends() == before + 1);
}

TEST_CASE("a small model's unsure answer is dropped before the caller gets any of it", "[relay]")
{
    router_fixture fixture;
    const auto out = fixture.ask(stream);
    const auto small = fixture.client->sent.front();
    CHECK(small->header("Reedramp-Model") == "s");
    small->head(200, {{"Reedramp-Confidence", "10"}});
    REQUIRE(fixture.sends() == 2);
    CHECK(small->is_cancelled);
    CHECK(fixture.last().header("Reedramp-Model") == "l");
    fixture.last().head(200, {{"Reedramp-Confidence", "10"}});
    fixture.last().chunk(event(0));
    fixture.last().end();
    CHECK(out->events == event(0));
    CHECK(out->is_finished);
}

TEST_CASE("a caller's choice of model is kept", "[relay]")
{
    router_fixture fixture;
    fixture.ask(stream, {{"Reedramp-Model", "x"}});
    CHECK(fixture.last().header("Reedramp-Model") == "x");
    fixture.last().head(200, {{"Reedramp-Confidence", "0"}});
    CHECK(fixture.sends() == 1);
}

TEST_CASE("a caller that disconnects cancels its request", "[relay]")
{
    router_fixture fixture;
    const auto out = fixture.ask(stream);
    out->leave_action();
    CHECK(fixture.last().is_cancelled);
    fixture.advance(seconds{20});
    CHECK(fixture.sends() == 1);
    CHECK(fixture.core->loads.make_reports().empty());
}

TEST_CASE("at the time limit the caller gets a final response at once", "[relay]")
{
    // The shorter of the caller's and the route's limit counts, and servers are sent the remaining
    // time.
    router_fixture fixture;
    const auto waits = fixture.ask(once, {{"Reedramp-Deadline-Ms", "60000"}});
    CHECK(fixture.last().header("Reedramp-Deadline-Ms") == "10000");
    fixture.advance(milliseconds{9999});
    CHECK(waits->status() == 0);
    fixture.advance(milliseconds{1});
    CHECK(waits->status() == 504);
    CHECK(fixture.last().is_cancelled);
}

TEST_CASE("a further send states only the remaining time", "[relay]")
{
    router_fixture fixture;
    fixture.ask(again);
    fixture.advance(milliseconds{2000});
    fixture.last().lose(execution::unknown);
    CHECK(fixture.last().header("Reedramp-Deadline-Ms") == "3000");
}

TEST_CASE("retries stay within the budget", "[relay]")
{
    // Every response is lost. Without a limit each request would be sent twice, and a service that
    // fails under its load would get twice the load.
    router_fixture fixture;
    std::mt19937_64 random{1};
    fixture.core->hooks.random = [&random] {
        return random();
    };
    fixture.core->change_retries({.ratio = 0.1, .extra = 2.0});
    std::size_t seconds_sent = 0;
    for (int i = 0; i < 1000; ++i) {
        fixture.advance(milliseconds{10});
        const auto before = fixture.sends();
        const auto out = fixture.ask(again);
        while (out->status() == 0) {
            fixture.last().lose(execution::unknown);
        }
        seconds_sent += fixture.sends() - before - 1;
    }
    CHECK(seconds_sent >= 70);
    CHECK(seconds_sent <= 102);
}

TEST_CASE("a barred version gets no requests, even if only it has servers", "[relay]")
{
    router_fixture fixture;
    for (const auto* id : {"a", "b", "c"}) {
        fixture.core->servers.mark_leaving(common::server_id{id});
    }
    fixture.add_server("new", "v2");
    const common::service_name engines{"engines"};
    fixture.core->rollouts.apply_order(
        {engines, common::version_id{"v2"}, seconds{20}}, fixture.now);
    fixture.core->rollouts.apply_status(
        {engines, common::version_id{"v2"}, routing::rollout_state::reverted});
    const auto out = fixture.ask(once);
    CHECK(fixture.sends() == 0);
    CHECK(out->status() == 503);
}

TEST_CASE("a further send does not go to a version found bad meanwhile", "[relay]")
{
    // The request is lost at its first server, which runs the new version. By then the new version
    // has been reverted, so the request must not be sent to it again.
    router_fixture fixture;
    for (const auto* id : {"a", "b", "c"}) {
        fixture.core->servers.mark_leaving(common::server_id{id});
    }
    fixture.add_server("new-1", "v2");
    fixture.add_server("new-2", "v2");
    const common::service_name engines{"engines"};
    fixture.core->rollouts.apply_order(
        {engines, common::version_id{"v2"}, seconds{20}}, fixture.now);
    fixture.core->rollouts.apply_status(
        {engines, common::version_id{"v2"}, routing::rollout_state::complete});
    const auto out = fixture.ask(again);
    REQUIRE(fixture.sends() == 1);
    fixture.core->rollouts.apply_status(
        {engines, common::version_id{"v2"}, routing::rollout_state::reverted});
    fixture.last().lose(execution::unknown);
    CHECK(fixture.sends() == 1);
    CHECK(out->status() == 502);
}

TEST_CASE("one server of a new version is filled first", "[relay]")
{
    // Guards against a first share that is spread so thinly that no server of the new version is
    // ever busy.
    router_fixture fixture;
    for (const auto* id : {"new-1", "new-2", "new-3"}) {
        fixture.add_server(id, "v2");
    }
    const common::service_name engines{"engines"};
    fixture.core->rollouts.apply_order(
        {engines, common::version_id{"v2"}, seconds{20}}, fixture.now);
    fixture.now += seconds{15}; // All requests use the new version.
    std::set<std::string> servers;
    const auto ask = [&fixture, &servers] {
        fixture.ask(once);
        servers.insert(fixture.last().header("Reedramp-Expect-Server"));
    };
    for (int i = 0; i < 6; ++i) {
        ask();
    }
    REQUIRE(fixture.sends() == 6);
    CHECK(servers.size() == 1);
    // It has eight slots, two of which stay free for requests that are not known here.
    ask();
    CHECK(servers.size() == 2);
}

} // namespace reedramp::router::testing
