#include <catch2/catch.hpp>

#include "world.hpp"

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

TEST_CASE("a server's answer reaches the caller unchanged", "[relay]")
{
    world all;
    const auto out = all.ask(once);
    REQUIRE(all.sends() == 1);
    CHECK(all.last().asked.target == once);
    CHECK(all.last().asked.body == "body");
    CHECK(all.last().header("Reedramp-Organisation") == "org");
    CHECK(all.last().header("Reedramp-Key").empty());
    all.last().answer(200, "whole", {{"X-Own", "1"}});
    CHECK(out->status() == 200);
    CHECK(out->answer->body == "whole");
    CHECK(http::find_header(out->answer->headers, "X-Own") == "1");
    CHECK(all.core->under_way() == 0);
}

/// What a first server does with a request, and what has to follow.
struct fault_row {
    const char* what;
    const char* path;
    std::function<auto(sent_request& first)->void> fault;
    /// Sends in all, when the second server answers with 200.
    std::size_t sends;
    int status;
};

TEST_CASE("what is known of an attempt decides what follows", "[relay]")
{
    // After a loss, a request may still run at its server. Sent once more, one that is not
    // idempotent would run twice; called "not run", its caller would do the same. Only what was
    // never sent, or what the server says it has not run, is free to go elsewhere.
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
        world all;
        const auto out = all.ask(row.path);
        const auto first = all.client->sent.front();
        row.fault(*first);
        CHECK(all.sends() == row.sends);
        if (all.sends() == 2) {
            CHECK(
                all.last().header("Reedramp-Expect-Server") !=
                first->header("Reedramp-Expect-Server"));
            all.last().answer(200, "second");
        }
        CHECK(out->status() == row.status);
        CHECK(all.core->under_way() == 0);
    }
}

TEST_CASE("a failure that a server answered is passed on when nothing better comes", "[relay]")
{
    world all;
    const auto out = all.ask(again);
    all.last().answer(500, "first");
    all.last().answer(500, "second");
    CHECK(all.sends() == 2);
    CHECK(out->status() == 500);
    CHECK(out->answer->body == "second");
}

TEST_CASE("nothing but refusals is a refusal that says when to come back", "[relay]")
{
    // Every server is full. None has run the request, so the caller may safely come again.
    world all;
    const auto out = all.ask(once);
    while (out->status() == 0) {
        all.last().answer(503, "", {{"Reedramp-Not-Executed", "1"}});
    }
    CHECK(all.sends() == 3);
    CHECK(out->status() == 503);
    CHECK(http::find_header(out->answer->headers, "Retry-After") == "0.250");
    CHECK_FALSE(http::find_header(out->answer->headers, "Reedramp-Signature"));
}

TEST_CASE("a stream that was lost without a sign is not called not run", "[relay]")
{
    // Each server takes the request, works on it and loses its connection before the answer's head
    // is out. Refused as "not run", the caller would take that word.
    world all;
    const auto out = all.ask(stream);
    while (out->status() == 0) {
        all.last().lose(execution::unknown);
    }
    CHECK(out->status() == 502);
    CHECK_FALSE(http::find_header(out->answer->headers, "Retry-After"));
}

TEST_CASE("a server whose address another one has is not asked again", "[relay]")
{
    // A server crashed and another one got its address. Its own registration is in the list for
    // seconds yet, and each request for it costs a round trip.
    world all;
    all.ask(once);
    const common::server_id gone{all.last().header("Reedramp-Expect-Server")};
    all.last().answer(421, "");
    CHECK(all.core->servers.find(gone) == nullptr);
}

TEST_CASE("a restarted server's word says nothing of what its former self took", "[relay]")
{
    // The only server takes a request and dies; it starts again under its id, and refuses whatever
    // comes next as "not executed". That is true of the second send alone: the first may have run.
    world all;
    for (const auto* id : {"b", "c"}) {
        all.core->servers.mark_leaving(common::server_id{id});
    }
    const auto restart = [&all] {
        all.add_server("a", "v1", 1000 + all.sends());
    };
    restart();
    SECTION("what may run twice is sent to the new start, and its refusal frees nothing")
    {
        const auto out = all.ask(again);
        all.last().lose(execution::unknown);
        CHECK(out->status() == 502);
        const auto repeated = all.ask(again);
        const auto first = all.client->sent.back();
        restart();
        first->lose(execution::unknown);
        REQUIRE(all.sends() == 3);
        all.last().answer(503, "", {{"Reedramp-Not-Executed", "1"}});
        CHECK(repeated->status() == 502);
        CHECK_FALSE(http::find_header(repeated->answer->headers, "Retry-After"));
    }
    SECTION("what may run once is not sent again")
    {
        const auto out = all.ask(once);
        const auto first = all.client->sent.back();
        restart();
        first->lose(execution::unknown);
        CHECK(all.sends() == 1);
        CHECK(out->status() == 502);
    }
    SECTION("of which nothing was sent, it goes to the new start")
    {
        // Still true: the connection was closed before a byte of the request had left.
        const auto out = all.ask(once);
        const auto first = all.client->sent.back();
        restart();
        first->lose(execution::not_run);
        REQUIRE(all.sends() == 2);
        all.last().answer(200, "answer");
        CHECK(out->status() == 200);
    }
    SECTION("refused by the start that took it, it goes to the new one")
    {
        // Still true: the refusal came on the connection that the request went out on, which ends
        // with the process that accepted it.
        const auto out = all.ask(once);
        const auto first = all.client->sent.back();
        restart();
        first->answer(503, "", {{"Reedramp-Not-Executed", "1"}});
        REQUIRE(all.sends() == 2);
        all.last().answer(200, "answer");
        CHECK(out->status() == 200);
    }
    SECTION("that another has its address now is said of the earlier start")
    {
        all.ask(once);
        const auto first = all.client->sent.back();
        restart();
        first->answer(421, "");
        CHECK(all.core->servers.find(common::server_id{"a"}) != nullptr);
    }
}

TEST_CASE("a broken stream goes on behind its last whole event", "[relay]")
{
    // The server breaks off inside event 2. The caller has the head and two events; it must get the
    // rest from another server as one stream, with nothing doubled, lost or joined.
    world all;
    const auto out = all.ask(stream);
    const auto first = all.client->sent.front();
    first->head(200, {{"Reedramp-Confidence", "90"}, {"X-Own", "first"}});
    first->chunk(event(0) + event(1) + "id: 2\nda");
    first->lose(execution::unknown);
    REQUIRE(all.sends() == 2);
    CHECK(all.last().header("Last-Event-Id") == "1");
    CHECK(all.last().header("Reedramp-Model") == first->header("Reedramp-Model"));
    all.last().head(200, {{"X-Own", "second"}});
    all.last().chunk(event(2) + event(3));
    all.last().end();
    CHECK(out->events == event(0) + event(1) + event(2) + event(3));
    CHECK(http::find_header(out->answer->headers, "X-Own") == "first");
    CHECK(out->is_finished);
}

TEST_CASE("a stream that can't go on is broken off, never ended as if whole", "[relay]")
{
    world all;
    const auto out = all.ask(stream);
    for (int id = 0; id < 3; ++id) {
        all.last().head(200, {{"Reedramp-Confidence", "90"}});
        all.last().chunk(event(id));
        all.last().lose(execution::unknown);
    }
    CHECK(all.sends() == 3);
    CHECK(out->is_aborted);
    CHECK_FALSE(out->is_finished);
}

TEST_CASE("a stream that falls silent is cancelled before it goes on elsewhere", "[relay]")
{
    // The server hangs in the middle of the stream with its connection open. Both runs together
    // would work on one request.
    world all;
    const auto out = all.ask(stream);
    const auto first = all.client->sent.front();
    first->head(200, {{"Reedramp-Confidence", "90"}});
    first->chunk(event(0));
    all.advance(milliseconds{900});
    CHECK(all.sends() == 1);
    all.advance(milliseconds{1000});
    REQUIRE(all.sends() == 2);
    CHECK(first->is_cancelled);
    first->chunk(event(1));
    CHECK(out->events == event(0));
}

TEST_CASE("a silent stream stays where it is while no second send may be made", "[relay]")
{
    // All callers of a killed entry come back at once, the servers are busy with their prompts, and
    // first events take longer than usual. With its budget of second sends used up, the entry
    // dropped streams that were about to begin, and told their callers that they were broken.
    world all;
    all.core->change_retries({.retries_per_first_try = 0.0, .max_saved = 0.0});
    const auto out = all.ask(stream);
    all.advance(seconds{3});
    CHECK(all.sends() == 1);
    CHECK(out->status() == 0);
    CHECK_FALSE(all.last().is_cancelled);
    all.last().head(200, {{"Reedramp-Confidence", "90"}});
    all.last().chunk(event(0));
    all.last().end();
    CHECK(out->events == event(0));
    CHECK(out->is_finished);
}

TEST_CASE(
    "a stream that stalls again and again runs on no more servers than its route allows", "[relay]")
{
    // Some servers take requests and hang, while their status checks are good. A stream whose small
    // model's answer was dropped stalled at one of them after the other; each may have begun it,
    // and it ran on four servers where its route allows three.
    for (const bool has_begun : {false, true}) {
        INFO("heads come " << has_begun);
        world all;
        all.add_server("d");
        all.add_server("e");
        const auto out = all.ask(stream, {{"Reedramp-Deadline-Ms", "9000"}});
        all.last().head(200, {{"Reedramp-Confidence", "10"}});
        REQUIRE(all.sends() == 2);
        for (int i = 0; i < 3; ++i) {
            if (has_begun && !all.last().is_cancelled) {
                all.last().head(200, {{"Reedramp-Confidence", "90"}});
            }
            all.advance(seconds{2});
        }
        CHECK(all.sends() == 3);
        // The last one is all there is, and its answer is still taken.
        CHECK_FALSE(all.last().is_cancelled);
        all.last().head(200, {{"Reedramp-Confidence", "90"}});
        all.last().chunk(event(0));
        all.last().end();
        CHECK(out->is_finished);
    }
}

TEST_CASE("a long prompt is given the time that it takes", "[relay]")
{
    // The largest prompts take seconds to read, the route's mean first event comes in a tenth of
    // one. Left like a silent server, each was begun at three servers, and finished at none.
    const auto sends_in_two_seconds = [](const std::string& tokens) {
        world all;
        for (int i = 0; i < 50; ++i) {
            all.core->paces[common::service_name{"engines"}].note(
                common::server_id{"z"}, milliseconds{100}, 1000.0);
        }
        const auto out = all.ask(stream, {{"Reedramp-Tokens", tokens}});
        all.advance(seconds{2});
        return all.sends();
    };
    CHECK(sends_in_two_seconds("100,10") == 2);
    CHECK(sends_in_two_seconds("90000,10") == 1);
}

TEST_CASE(
    "a stream that a caller resumes goes first, and back to the server that wrote it", "[relay]")
{
    // An entry is killed, and all its callers come back at once. Those in the midst of a stream
    // count the pause; the server that wrote the beginning still holds the whole prompt, while at
    // any other one it is read anew, behind the prompts of all who come back.
    world all;
    const http::header prompt{"Reedramp-Prompt-Parts", "aa:500,bb:9000"};
    const http::header tokens{"Reedramp-Tokens", "9500,100"};
    all.ask(stream, {prompt, tokens});
    const auto first_server = all.last().header("Reedramp-Expect-Server");
    const auto usual = std::stoi(all.last().header("Reedramp-Urgency"));
    // That server has more to do than the part that others share would outweigh.
    constexpr double much = 8000.0;
    all.core->loads.begin(common::server_id{first_server}, much);
    all.ask(stream, {prompt, tokens});
    CHECK(all.last().header("Reedramp-Expect-Server") != first_server);
    all.ask(stream, {prompt, tokens, {"Last-Event-ID", "4"}});
    CHECK(all.last().header("Reedramp-Expect-Server") == first_server);
    CHECK(std::stoi(all.last().header("Reedramp-Urgency")) < usual);
}

TEST_CASE("an answer without end is left, and its server takes no memory", "[relay]")
{
    world all;
    all.core->options.longest_answer = 1000;
    const auto out = all.ask(again);
    const auto first = all.client->sent.front();
    first->head(200);
    for (int i = 0; i < 11; ++i) {
        first->chunk(std::string(100, 'x'));
    }
    CHECK(first->is_cancelled);
    REQUIRE(all.sends() == 2);
    all.last().answer(200, "short");
    CHECK(out->answer->body == "short");
}

TEST_CASE("larger models leave second sends to requests that lose their server", "[relay]")
{
    world all;
    all.core->change_retries({.retries_per_first_try = 0.0, .max_saved = 9.0});
    const auto first = all.ask(stream);
    all.last().head(200, {{"Reedramp-Confidence", "10"}});
    CHECK(all.sends() == 2);
    const auto second = all.ask(stream);
    all.last().head(200, {{"Reedramp-Confidence", "10"}});
    CHECK(all.sends() == 3);
    all.last().lose(execution::unknown);
    CHECK(all.sends() == 4);
}

TEST_CASE("an unsure small model's answer is dropped before the caller has any of it", "[relay]")
{
    world all;
    const auto out = all.ask(stream);
    const auto small = all.client->sent.front();
    CHECK(small->header("Reedramp-Model") == "s");
    small->head(200, {{"Reedramp-Confidence", "10"}});
    REQUIRE(all.sends() == 2);
    CHECK(small->is_cancelled);
    CHECK(all.last().header("Reedramp-Model") == "l");
    all.last().head(200, {{"Reedramp-Confidence", "10"}});
    all.last().chunk(event(0));
    all.last().end();
    CHECK(out->events == event(0));
    CHECK(out->is_finished);
}

TEST_CASE("a caller's own choice of model stands", "[relay]")
{
    world all;
    all.ask(stream, {{"Reedramp-Model", "x"}});
    CHECK(all.last().header("Reedramp-Model") == "x");
    all.last().head(200, {{"Reedramp-Confidence", "0"}});
    CHECK(all.sends() == 1);
}

TEST_CASE("a caller that leaves ends its run", "[relay]")
{
    world all;
    const auto out = all.ask(stream);
    out->leave_action();
    CHECK(all.last().is_cancelled);
    all.advance(seconds{20});
    CHECK(all.sends() == 1);
    CHECK(all.core->loads.make_reports().empty());
}

TEST_CASE("at the time limit there is a final answer at once", "[relay]")
{
    // The smaller of the caller's and the route's time counts, and servers are handed what is left.
    world all;
    const auto waits = all.ask(once, {{"Reedramp-Deadline-Ms", "60000"}});
    CHECK(all.last().header("Reedramp-Deadline-Ms") == "10000");
    all.advance(milliseconds{9999});
    CHECK(waits->status() == 0);
    all.advance(milliseconds{1});
    CHECK(waits->status() == 504);
    CHECK(all.last().is_cancelled);
}

TEST_CASE("a second send hands on only the time that is left", "[relay]")
{
    world all;
    all.ask(again);
    all.advance(milliseconds{2000});
    all.last().lose(execution::unknown);
    CHECK(all.last().header("Reedramp-Deadline-Ms") == "3000");
}

TEST_CASE("second sends stay within the budget", "[relay]")
{
    // Every answer is lost. Without a bound each request would be sent twice, and a service that
    // fails under its load would get twice the load.
    world all;
    all.core->change_retries({.retries_per_first_try = 0.1, .max_saved = 2.0});
    std::size_t seconds_sent = 0;
    for (int i = 0; i < 100; ++i) {
        const auto before = all.sends();
        const auto out = all.ask(again);
        while (out->status() == 0) {
            all.last().lose(execution::unknown);
        }
        seconds_sent += all.sends() - before - 1;
    }
    CHECK(seconds_sent >= 10);
    CHECK(seconds_sent <= 13);
}

TEST_CASE("a version that is barred gets nothing, also when it alone has servers", "[relay]")
{
    world all;
    for (const auto* id : {"a", "b", "c"}) {
        all.core->servers.mark_leaving(common::server_id{id});
    }
    all.add_server("new", "v2");
    const common::service_name engines{"engines"};
    all.core->rollouts.apply_order({engines, common::version_id{"v2"}, seconds{20}}, all.now);
    all.core->rollouts.apply_status(
        {engines, common::version_id{"v2"}, routing::rollout_state::reverted});
    const auto out = all.ask(once);
    CHECK(all.sends() == 0);
    CHECK(out->status() == 503);
}

TEST_CASE("a second send does not go to a version that was found bad meanwhile", "[relay]")
{
    // The request's first server, of the new version, loses it. By then the new version has been
    // reverted; the caller's request must not be what it serves last.
    world all;
    for (const auto* id : {"a", "b", "c"}) {
        all.core->servers.mark_leaving(common::server_id{id});
    }
    all.add_server("new-1", "v2");
    all.add_server("new-2", "v2");
    const common::service_name engines{"engines"};
    all.core->rollouts.apply_order({engines, common::version_id{"v2"}, seconds{20}}, all.now);
    all.core->rollouts.apply_status(
        {engines, common::version_id{"v2"}, routing::rollout_state::complete});
    const auto out = all.ask(again);
    REQUIRE(all.sends() == 1);
    all.core->rollouts.apply_status(
        {engines, common::version_id{"v2"}, routing::rollout_state::reverted});
    all.last().lose(execution::unknown);
    CHECK(all.sends() == 1);
    CHECK(out->status() == 502);
}

} // namespace reedramp::router::testing
