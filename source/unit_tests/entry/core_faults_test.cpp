#include <catch2/catch.hpp>

#include "core_fixture.hpp"
#include "entry/recovery.hpp"

namespace reedramp::entry::test {

namespace {

using common::execution;
using common::result_code;
using messages::outcome_state;

constexpr auto streamed = R"(,"stream":true)";

auto outcome_of(outcome_state state) -> messages::outcome_answer
{
    messages::outcome_answer answer;
    answer.state = state;
    answer.used = {common::token_count(5), common::token_count(2)};
    if (state == outcome_state::finished) {
        answer.finished = messages::finished_event{};
        answer.finished->content_type = "text/plain";
        answer.finished->body = "kept";
    }
    return answer;
}

/// What an agent says that took the lost connection for a caller that left.
auto cancelled_as(outcome_state state) -> messages::outcome_answer
{
    auto answer = outcome_of(state);
    answer.why = common::make_error(result_code::cancelled);
    return answer;
}

auto key_header() -> std::vector<http::header>
{
    return {{"Idempotency-Key", "k1"}};
}

} // namespace

// The caller of a service waits; the connection to the agent is lost with the answer on it.
// The entry asks the agent, which refuses what it does not know. Only that refusal, or a request
// that may run twice, allows a second run; else the caller would get a doubled note.
TEST_CASE("a lost answer is asked about", "[faults]")
{
    struct row {
        std::string name;
        std::string method;
        std::optional<common::result<messages::outcome_answer>> outcome;
        std::size_t runs;
        /// Empty if the answer "kept" comes through.
        std::string problem;
        std::string execution;
    };

    const std::vector<row> rows{
        {"it had finished", "POST", outcome_of(outcome_state::finished), 1, "", ""},
        {"it was refused", "POST", outcome_of(outcome_state::refused), 2, "", ""},
        {"it had failed", "POST", outcome_of(outcome_state::failed), 1, "server_lost", "ran"},
        {"it goes on", "POST", outcome_of(outcome_state::running), 1, "outcome_unknown", "unknown"},
        {"no agent", "POST", std::nullopt, 1, "outcome_unknown", "unknown"},
        {"a new agent",
         "POST",
         common::failure(result_code::wrong_incarnation),
         1,
         "outcome_unknown",
         "unknown"},
        {"cancelled before it ran", "POST", cancelled_as(outcome_state::refused), 2, "", ""},
        {"cancelled in its run",
         "POST",
         cancelled_as(outcome_state::failed),
         1,
         "server_lost",
         "ran"},
        {"cancelled, may run twice", "GET", cancelled_as(outcome_state::failed), 2, "", ""},
        {"no agent, may run twice", "GET", std::nullopt, 2, "", ""},
        {"it goes on, may run twice", "GET", outcome_of(outcome_state::running), 2, "", ""},
    };
    for (const auto& row : rows) {
        INFO(row.name);
        core_fixture test;
        test.outcome = row.outcome;
        const auto caller = test.service(row.method);
        test.run(0).fail(result_code::server_lost, execution::unknown);
        test.time.run_for(std::chrono::seconds(row.runs == 2 ? 1 : 31));
        REQUIRE(test.runs.size() == row.runs);
        REQUIRE_FALSE(test.outcome_queries.empty());
        CHECK(test.outcome_queries[0].query.refuse_if_unknown);
        if (row.runs == 2) {
            CHECK(test.run(1).address == "b");
            CHECK(test.run(1).request.key.attempt.value() == 2);
            test.run(1).finish("kept");
        }
        CHECK(caller->answers == 1);
        CHECK(caller->problem_name() == row.problem);
        CHECK(caller->execution() == row.execution);
        CHECK((row.problem.empty() == (caller->body == "kept")));
        CHECK(test.bills.size() == 1);
        CHECK(test.subject->counters().in_flight == 0);
    }
}

// An agent refuses with its hint, or can't be connected to. Nothing ran, so the entry tries others,
// and when it gives up the caller hears so at once, truly `not_run` and with a time to come back.
TEST_CASE("refusals are tried elsewhere, then told at once", "[faults]")
{
    core_fixture test;
    const auto start = test.time.now();
    const auto caller = test.service("POST");
    test.run(0).refuse(result_code::queue_full, std::chrono::seconds(7));
    test.run(1).fail(result_code::peer_unavailable, execution::not_run);
    test.run(2).refuse(result_code::queue_full, std::chrono::seconds(7));
    CHECK(test.runs.size() == 3);
    CHECK(test.time.now() == start);
    CHECK(caller->problem_name() == "queue_full");
    CHECK(caller->execution() == "not_run");
    CHECK(caller->header("Retry-After") == "7");
    CHECK(test.bills.empty());
    CHECK(test.settled.requests == 0.0);
}

// One attempt of an idempotent call may have run, then all others refuse. `not_run` would be a lie.
TEST_CASE("one unknown attempt makes the whole unknown", "[faults]")
{
    core_fixture test;
    const auto caller = test.service("GET");
    test.run(0).fail(result_code::server_lost, execution::unknown);
    REQUIRE(test.runs.size() == 2);
    test.run(1).refuse(result_code::queue_full);
    test.run(2).refuse(result_code::queue_full);
    CHECK(caller->problem_name() == "queue_full");
    CHECK(caller->execution() == "unknown");
}

// A chat's first attempt fails after it has begun; then its versions are withdrawn one after the
// other, and no version is left to choose. The choice has seen no attempt; the request ran.
TEST_CASE("a refusal by a filter that runs again counts the attempts before", "[faults]")
{
    core_fixture test;
    const auto caller = test.chat();
    test.run(0).fail(result_code::server_failed, execution::ran);
    test.run(1).refuse(result_code::version_withdrawn);
    test.run(2).refuse(result_code::version_withdrawn);
    CHECK(test.runs.size() == 3);
    CHECK(caller->problem_name() == "version_withdrawn");
    CHECK(caller->execution() == "ran");
}

// A caller reads a stream; its engine is lost twice in the middle. Another server of the same
// version goes on after the sent tokens; what the lost ones send late, or twice, is dropped. The
// caller sees each token once, and the bill has a line for each attempt.
TEST_CASE("a lost engine is replaced in mid-stream", "[faults]")
{
    core_fixture test;
    const auto caller = test.chat(streamed);
    test.run(0).tokens(0, 3);
    test.run(0).tokens(0, 3);
    test.run(0).fail(result_code::server_failed, execution::ran);
    REQUIRE(test.runs.size() == 2);
    CHECK(test.run(1).request.version == test.run(0).request.version);
    CHECK(test.run(1).request.sent_text == token_text(0, 3));
    CHECK(test.run(1).request.sent_tokens.value() == 3);
    test.run(0).tokens(3, 2);
    test.run(0).finish();
    test.run(1).tokens(3, 2);
    test.run(1).fail(result_code::server_lost, execution::unknown);
    REQUIRE(test.runs.size() == 3);
    test.run(2).tokens(5, 5);
    test.run(1).tokens(5, 1);
    test.run(2).finish();
    CHECK(caller->streamed_text() == token_text(0, 10));
    CHECK(caller->is_whole_stream());
    CHECK(test.subject->counters().late_events == 4);
    REQUIRE(test.bills.size() == 1);
    REQUIRE(test.bills[0].lines.size() == 3);
    CHECK(test.bills[0].lines[1].used.completion_tokens.value() == 2);
}

// Tokens are missing in the middle of a stream. Passing on the rest would look whole; the attempt
// is ended instead and another server goes on from the gap.
TEST_CASE("a gap is never passed on", "[faults]")
{
    core_fixture test;
    const auto caller = test.chat(streamed);
    test.run(0).tokens(0, 2);
    test.run(0).tokens(4, 2);
    CHECK(test.run(0).cancelled);
    REQUIRE(test.runs.size() == 2);
    test.run(1).tokens(2, 4);
    test.run(1).finish();
    CHECK(caller->streamed_text() == token_text(0, 6));
    CHECK(caller->is_whole_stream());
}

// Nobody can go on with a stream: no other server, or more text than is kept for it. The caller
// gets an explicit error event, and never the end mark that would make the answer look whole.
TEST_CASE("a stream that can not go on ends with an error event", "[faults]")
{
    for (const auto text_limit : {std::size_t{1000}, std::size_t{4}}) {
        core_fixture test;
        test.options.sent_text_limit_bytes = text_limit;
        test.restart();
        if (text_limit == 1000) {
            test.servers.resize(1);
        }
        const auto caller = test.chat(streamed);
        test.run(0).tokens(0, 3);
        test.run(0).fail(result_code::server_failed, execution::ran);
        CHECK(test.runs.size() == 1);
        CHECK(caller->finished);
        CHECK_FALSE(caller->is_whole_stream());
        CHECK(caller->problem_name() == "server_failed");
        CHECK(caller->execution() == "ran");
        CHECK(test.bills.size() == 1);
    }
}

// Two copies of a request come with one key. The claim decides: the earlier one's kept answer,
// `still_running`, another body, or no claim at all. None of these sends anything, and a kept
// answer is billed under the first copy's id, so that readers count it once.
TEST_CASE("a key that is taken sends nothing", "[faults]")
{
    messages::claim_request holder;
    holder.request = {7, 7};
    holder.server = common::server_id("z");
    auto gone = outcome_of(outcome_state::finished);
    gone.finished.reset();

    struct row {
        claims::claim_result end;
        std::string problem;
        std::string execution;
        std::size_t bills;
    };

    const common::log_offset offset(3);
    const std::vector<row> rows{
        {claims::claim_answered{holder, offset, outcome_of(outcome_state::finished)}, "", "", 1},
        {claims::claim_answered{holder, offset, gone}, "duplicate_request", "ran", 1},
        {claims::claim_refused{common::make_error(result_code::still_running)},
         "still_running",
         "unknown",
         0},
        {claims::claim_refused{common::make_error(result_code::key_reused)},
         "key_reused",
         "not_run",
         0},
        {claims::claim_refused{common::make_error(result_code::claims_unavailable)},
         "claims_unavailable",
         "not_run",
         0},
    };
    for (const auto& row : rows) {
        INFO(row.problem);
        core_fixture test;
        test.claim_result = row.end;
        const auto caller = test.service("POST", key_header());
        CHECK(test.runs.empty());
        CHECK(caller->answers == 1);
        CHECK(caller->problem_name() == row.problem);
        CHECK(caller->execution() == row.execution);
        REQUIRE(test.bills.size() == row.bills);
        if (row.bills == 1) {
            CHECK(test.bills[0].request == holder.request);
            CHECK(caller->header("Reedramp-Request-Id") == common::to_string(holder.request));
        }
    }
}

// The claim names the agent. When that agent refuses, the next try needs a second claim that
// replaces the first, before anything is sent; else a retry elsewhere would not find this run.
TEST_CASE("a claim comes before each try", "[faults]")
{
    core_fixture test;
    const auto caller = test.service("POST", key_header());
    REQUIRE(test.claims.size() == 1);
    CHECK(test.claims[0].server.value() == "a");
    test.run(0).refuse(result_code::queue_full);
    REQUIRE(test.claims.size() == 2);
    CHECK(test.claims[1].server.value() == "b");
    CHECK(test.claims[1].replaces.value() == 1);
    CHECK(test.claims[1].key == test.claims[0].key);
    CHECK(test.run(1).request.key.attempt == test.claims[1].attempt);
    test.run(1).finish("kept");
    CHECK(caller->body == "kept");

    // With the log down, what may run twice goes on without a claim.
    test.claim_result = claims::claim_refused{common::make_error(result_code::claims_unavailable)};
    test.service("GET", key_header());
    CHECK(test.runs.size() == 3);
}

// A version is withdrawn while a session is open on it, seen first by the entry or only by the
// agent. The session ends with a true `not_run`; a request without a session takes another version.
TEST_CASE("a withdrawn version takes no new work", "[faults]")
{
    core_fixture test;
    const auto token = test.session_token("s2");
    const auto refused = test.chat("", {{"Reedramp-Session", token}});
    test.run(0).refuse(result_code::version_withdrawn);
    CHECK(test.runs.size() == 1);
    CHECK(refused->problem_name() == "session_ended");
    CHECK(refused->execution() == "not_run");

    const auto moved = test.chat();
    test.run(1).refuse(result_code::version_withdrawn);
    REQUIRE(test.runs.size() == 3);
    CHECK(test.run(2).request.version.value() == "s1");

    test.change([](auto& state) { state.withdrawn_early.insert(common::version_id("s2")); });
    const auto ended = test.chat("", {{"Reedramp-Session", token}});
    CHECK(ended->problem_name() == "session_ended");
    CHECK(ended->execution() == "not_run");
    test.chat();
    REQUIRE(test.runs.size() == 4);
    CHECK(test.run(3).request.version.value() == "s1");
}

// The configuration is too old to know whether a sensitive version may serve. New sessions go to
// what is stable; a session that is pinned to it goes on.
TEST_CASE("a stale configuration opens nothing new on a sensitive version", "[faults]")
{
    core_fixture test;
    test.change([](auto& state) { state.versions[common::version_id("s2")].sensitive = true; });
    test.current_until = test.time.now() - std::chrono::seconds(1);
    test.chat();
    CHECK(test.run(0).request.version.value() == "s1");
    test.chat("", {{"Reedramp-Session", test.session_token("s2")}});
    CHECK(test.run(1).request.version.value() == "s2");
    const auto named = test.call(
        {"POST",
         "/v1/chat/completions",
         {bearer("key")},
         R"({"model":"s2","messages":[{"role":"user"}]})",
         {}});
    CHECK(named->problem_name() == "stale_configuration");
}

// A session's version has no server for a while. It waits, since it can't move, and is then served.
TEST_CASE("a session waits for a server of its version", "[faults]")
{
    core_fixture test;
    test.servers.clear();
    const auto caller = test.chat("", {{"Reedramp-Session", test.session_token("s2")}});
    CHECK(test.chat()->problem_name() == "no_capacity");
    test.time.run_for(std::chrono::seconds(1));
    CHECK(caller->answers == 0);
    test.servers.emplace_back("a");
    test.time.run_for(std::chrono::seconds(1));
    CHECK(test.runs.size() == 1);
}

// The caller's deadline passes while an agent is silent. The answer comes then, not later, and
// says `unknown`; the run is cancelled and billed by what the agent says it used.
TEST_CASE("a deadline ends a request once", "[faults]")
{
    core_fixture test;
    test.outcome = outcome_of(outcome_state::failed);
    const auto caller = test.chat("", {{"Reedramp-Deadline-Ms", "500"}});
    CHECK(test.run(0).request.time_left == std::chrono::milliseconds(500));
    test.time.run_for(std::chrono::milliseconds(530));
    CHECK(caller->problem_name() == "deadline_passed");
    CHECK(caller->execution() == "unknown");
    CHECK(test.run(0).cancelled);
    test.run(0).finish();
    CHECK(caller->answers == 1);
    REQUIRE(test.bills.size() == 1);
    CHECK(test.bills[0].lines[0].used.completion_tokens.value() == 2);
}

// A caller stops reading. The source is paused once the backlog is high and goes on when it has
// been sent, so that memory stays bounded; one that never reads is cut.
TEST_CASE("a slow caller holds its source back", "[faults]")
{
    core_fixture test;
    test.options.backlog_high_bytes = 400;
    test.options.backlog_limit_bytes = 4000;
    test.restart();
    const auto caller = test.chat(streamed);
    caller->is_slow = true;
    test.run(0).tokens(0, 1);
    CHECK_FALSE(test.run(0).paused);
    test.run(0).tokens(1, 100);
    CHECK(test.run(0).paused);
    caller->drain();
    CHECK_FALSE(test.run(0).paused);
    test.run(0).tokens(101, 1000);
    CHECK(caller->aborted);
    CHECK(test.run(0).cancelled);
    test.time.run_for(std::chrono::seconds(1));
    CHECK(test.bills.size() == 1);
    CHECK(test.subject->counters().in_flight == 0);
}

// The caller closes its connection. The engine's run is cancelled at once, and the request is
// billed once.
TEST_CASE("a caller that leaves cancels its run", "[faults]")
{
    core_fixture test;
    const auto caller = test.chat(streamed);
    test.run(0).tokens(0, 3);
    caller->leave();
    CHECK(test.run(0).cancelled);
    test.run(0).tokens(3, 3);
    test.time.run_for(std::chrono::seconds(1));
    CHECK(caller->streamed_text() == token_text(0, 3));
    REQUIRE(test.bills.size() == 1);
    CHECK(test.bills[0].lines[0].used.completion_tokens.value() == 3);
}

// An entry has its configuration before it has seen its servers in the list of hosts. The balancer
// must not send it requests yet, since it could place none of them; what comes all the same is
// still answered, and readiness follows as soon as the servers are known.
TEST_CASE("an entry that knows no servers is not ready", "[faults]")
{
    core_fixture test;
    CHECK(test.subject->ready());
    test.knows_servers = false;
    CHECK_FALSE(test.subject->ready());
    CHECK(test.call({"GET", "/health/ready", {}, "", {}})->head.status == 503);
    CHECK(test.call({"GET", "/health/live", {}, "", {}})->head.status == 200);
    test.knows_servers = true;
    CHECK(test.call({"GET", "/health/ready", {}, "", {}})->head.status == 200);
}

// An entry shuts down during two streams. Readiness is off at once; a stream finishes whole, and so
// does a request that comes late on an open connection. What is left at the deadline is cut with an
// error event and counted, and from then on all is refused `not_run`.
TEST_CASE("a graceful shutdown lets requests finish until its deadline", "[faults]")
{
    core_fixture test;
    const auto first = test.chat(streamed);
    const auto second = test.chat(streamed);
    test.run(1).tokens(0, 1);
    std::optional<std::size_t> cut;
    test.subject->shut_down(
        test.time.now() + std::chrono::seconds(10), [&cut](std::size_t count) { cut = count; });
    CHECK_FALSE(test.subject->ready());
    CHECK(test.call({"GET", "/health/ready", {}, "", {}})->head.status == 503);
    const auto late = test.chat();
    test.run(2).finish();
    CHECK(late->head.status == 200);
    test.run(0).tokens(0, 2);
    test.run(0).finish();
    CHECK(first->is_whole_stream());
    CHECK_FALSE(cut.has_value());
    test.time.run_for(std::chrono::seconds(11));
    CHECK(cut == 1);
    CHECK(second->problem_name() == "shutting_down");
    CHECK_FALSE(second->is_whole_stream());
    const auto refused = test.chat();
    CHECK(refused->problem_name() == "shutting_down");
    CHECK(refused->execution() == "not_run");
    CHECK(test.runs.size() == 3);
    CHECK(test.bills.size() == 3);
}

// All servers refuse everything. Retries stop at the budget, so that the overload does not grow by
// the number of attempts.
TEST_CASE("retries stay within the budget", "[faults]")
{
    core_fixture test;
    constexpr std::size_t calls = 200;
    for (std::size_t index = 0; index < calls; ++index) {
        const auto caller = test.service("POST");
        for (auto at = test.runs.size() - 1; at < test.runs.size(); ++at) {
            test.run(at).refuse(result_code::queue_full);
        }
        CHECK(caller->execution() == "not_run");
    }
    const auto budget = test.options.retries;
    CHECK(
        static_cast<double>(test.runs.size() - calls) <=
        budget.max_saved + budget.retries_per_first_try * calls);
}

TEST_CASE("a second attempt needs a proof or a request that may run twice", "[recovery]")
{
    using messages::repeat_rule;
    const auto now = common::time_point(std::chrono::seconds(100));

    struct row {
        attempt_failure failure;
        repeat_rule repeat;
        result_code code;
        recovery_action step;
    };

    const auto once = repeat_rule::at_most_once;
    const auto twice = repeat_rule::idempotent;
    const std::vector<row> rows{
        {attempt_failure::refused, once, result_code::queue_full, recovery_action::retry},
        {attempt_failure::never_sent, once, result_code::peer_unavailable, recovery_action::retry},
        {attempt_failure::failed, once, result_code::server_failed, recovery_action::give_up},
        {attempt_failure::unknown, once, result_code::server_lost, recovery_action::give_up},
        {attempt_failure::failed, twice, result_code::server_failed, recovery_action::retry},
        {attempt_failure::unknown, twice, result_code::server_lost, recovery_action::retry},
        {attempt_failure::refused, twice, result_code::unknown_model, recovery_action::give_up},
    };
    for (const auto& row : rows) {
        recovery_input facts;
        facts.failure = row.failure;
        facts.repeat = row.repeat;
        facts.code = row.code;
        facts.attempt_limit = 4;
        facts.now = now;
        facts.query_until = now;
        facts.deadline = now + std::chrono::seconds(1);
        CHECK(choose_recovery(facts) == row.step);
        facts.deadline = now;
        CHECK(choose_recovery(facts) == recovery_action::give_up);
    }
}

} // namespace reedramp::entry::test
