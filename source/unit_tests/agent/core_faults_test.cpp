#include <catch2/catch.hpp>

#include "agent_fixture.hpp"

namespace reedramp::agent::test {

using common::result_code;
using messages::failed_event;
using messages::finished_event;
using messages::outcome_state;
using messages::refused_event;

TEST_CASE("The agent refuses requests that an entry should not have sent")
{
    // An entry with an older or wrong configuration sends the request. The agent checks it against
    // its own newest configuration, makes no call and records the refusal, so that an outcome query
    // confirms it. The caller sees "not run".
    struct row {
        const char* what;
        std::function<auto(core_fixture& fixture, messages::run_request& request)->void> arrange;
        const char* outcome;
    };

    const auto test_case = GENERATE(
        row{"withdrawn version",
            [](core_fixture& fixture, auto&) {
                fixture.configure([](auto& s) { withdraw(s, "v1"); });
            },
            "refused version_withdrawn not_run"},
        row{"withdrawal from a peer while the log is down",
            [](core_fixture& fixture, auto&) {
                fixture.configure(
                    [](auto& s) { s.withdrawn_early.insert(common::version_id{"v1"}); });
            },
            "refused version_withdrawn not_run"},
        row{"organisation without the model",
            [](core_fixture&, auto& r) { r.organisation = common::organisation_id{"nobody"}; },
            "refused organisation_not_allowed not_run"},
        row{"unknown organisation",
            [](core_fixture&, auto& r) { r.organisation = common::organisation_id{"x"}; },
            "refused organisation_not_allowed not_run"},
        row{"unknown version",
            [](core_fixture&, auto& r) { r.version = common::version_id{"v9"}; },
            "refused unknown_model not_run"},
        row{"version of another model",
            [](core_fixture&, auto& r) { r.model = common::model_id{"tagging"}; },
            "refused unknown_model not_run"},
        row{"version of another server",
            [](core_fixture&, auto& r) { r.version = common::version_id{"v3"}; },
            "refused no_capacity not_run"},
        row{"sensitive version, outdated configuration",
            [](core_fixture& fixture, auto& r) {
                fixture.current_until = fixture.time.now() - 1s;
                r.version = common::version_id{"v2"};
            },
            "refused stale_configuration not_run"},
        row{"service that is not allowed",
            [](core_fixture&, auto& r) {
                r = core_fixture::invoice_request(1);
                r.organisation = common::organisation_id{"nobody"};
            },
            "refused organisation_not_allowed not_run"},
        row{"service of another server",
            [](core_fixture&, auto& r) {
                r = core_fixture::invoice_request(1);
                r.service = common::service_name{"plans"};
            },
            "refused unknown_model not_run"},
        row{"body that is not a JSON object",
            [](core_fixture&, auto& r) { r.body = "[1"; },
            "refused malformed_json not_run"},
        row{"deadline too near",
            [](core_fixture&, auto& r) { r.time_left = 1ms; },
            "refused deadline_too_near not_run"},
        row{"agent is leaving",
            [](core_fixture& fixture, auto&) { fixture.core->drain(); },
            "refused server_leaving not_run"},
        row{"agent is leaving, and behind the entry",
            [](core_fixture& fixture, auto& r) {
                fixture.core->drain();
                r.configuration = common::log_offset{newest_offset.value() + 1};
            },
            "refused server_leaving not_run"},
        row{"request for a previous incarnation",
            [](core_fixture&, auto& r) { r.key.incarnation = common::incarnation_id{40}; },
            "refused wrong_incarnation not_run"});
    INFO(test_case.what);
    core_fixture fixture;
    auto request = core_fixture::chat_request(1);
    test_case.arrange(fixture, request);
    const auto recorder = fixture.run(request);
    CHECK(recorder->outcome() == test_case.outcome);
    CHECK(recorder->events.size() == 1);
    CHECK(fixture.backends.empty());
    CHECK(fixture.core->is_idle());
    if (request.key.incarnation == incarnation) {
        CHECK(fixture.query_outcome(request.key, false).state == outcome_state::refused);
        CHECK(fixture.run(request)->outcome() == "refused already_refused not_run");
    }
}

TEST_CASE("A withdrawal applies to queued requests")
{
    // The withdrawal arrives while the request is queued behind another one. The rules are checked
    // again before the start; the caller sees "version_withdrawn, not run".
    core_fixture fixture(one_slot());
    const auto first = fixture.run(core_fixture::chat_request(1));
    const auto second = fixture.run(core_fixture::chat_request(2));
    REQUIRE(fixture.backends.size() == 1);
    fixture.configure([](auto& s) { withdraw(s, "v1"); });
    fixture.backends[0]->head("text/event-stream");
    fixture.backends[0]->end_stream();
    CHECK(first->outcome() == "finished");
    CHECK(second->outcome() == "refused version_withdrawn not_run");
    CHECK(fixture.backends.size() == 1);
    CHECK_FALSE(fixture.probe("v1").serves_version);
    CHECK(fixture.probe("v2").serves_version);
}

TEST_CASE("An agent behind the entry catches up or refuses")
{
    // The entry used a configuration record that the agent has not read. The agent fetches it and
    // waits for a bounded time, because the missing record may be a withdrawal. The caller sees a
    // slightly later answer, or a refusal.
    core_fixture fixture;
    auto request = core_fixture::chat_request(1);
    request.configuration = common::log_offset{newest_offset.value() + 1};
    const auto recorder = fixture.run(request);
    CHECK(fixture.backends.empty());
    CHECK(fixture.requested_offset == request.configuration);
    CHECK(fixture.query_outcome(request.key).state == outcome_state::queued);

    SECTION("it arrives")
    {
        fixture.configure([](auto&) {});
        CHECK(fixture.backends.size() == 1);
    }
    SECTION("it arrives and is a withdrawal")
    {
        fixture.configure([](auto& s) { withdraw(s, "v1"); });
        CHECK(recorder->outcome() == "refused version_withdrawn not_run");
    }
    SECTION("it does not arrive")
    {
        fixture.time.run_for(core_options{}.configuration_wait_limit - 1ms);
        CHECK(recorder->outcome() == "none");
        fixture.time.run_for(1ms);
        CHECK(recorder->outcome() == "refused stale_configuration not_run");
        fixture.configure([](auto&) {});
        CHECK(fixture.backends.empty());
    }
    SECTION("the agent drains first")
    {
        fixture.core->drain();
        CHECK(recorder->outcome() == "refused server_leaving not_run");
    }
}

TEST_CASE("A stream is delivered completely and in order")
{
    core_fixture fixture;
    auto request = core_fixture::chat_request(1);
    request.sent_tokens = common::token_count{5};
    const auto recorder = fixture.run(request);
    REQUIRE(fixture.backends.size() == 1);
    CHECK(fixture.backends[0]->call.body.find("\"resume_after_tokens\":5") != std::string::npos);
    fixture.backends[0]->head("text/event-stream");
    fixture.backends[0]->token("t5 ");
    fixture.backends[0]->token("t6 ");
    fixture.backends[0]->end_stream();
    CHECK(recorder->text() == "t5 t6 ");
    CHECK(std::get<messages::tokens_event>(recorder->events[0]).first_index == 5);
    CHECK(std::get<messages::tokens_event>(recorder->events[1]).first_index == 6);
    REQUIRE(recorder->outcome() == "finished");
    CHECK(recorder->final_event<finished_event>()->finish_reason == "stop");
    CHECK(recorder->final_event<finished_event>()->used.prompt_tokens.value() == 7);
    REQUIRE(fixture.usage.size() == 1);
    CHECK(fixture.usage[0].used.completion_tokens.value() == 2);
    CHECK(fixture.core->is_idle());
}

TEST_CASE("Failures of the backend server are reported")
{
    // The entry gets the tokens generated so far and then "failed", never a regular end, and the
    // usage is reported. Only if no byte was sent to the backend server is the run refused.
    struct row {
        const char* what;
        std::function<auto(fake_backend& engine)->void> fault;
        const char* outcome;
        std::size_t tokens;
    };

    const auto test_case = GENERATE(
        row{"connection refused",
            [](fake_backend& e) { e.fail(common::execution::not_run); },
            "refused no_capacity not_run",
            0},
        row{"connection lost before the answer",
            [](fake_backend& e) { e.fail(common::execution::unknown); },
            "failed server_lost unknown",
            0},
        row{"connection lost during the stream",
            [](fake_backend& e) {
                e.head("text/event-stream");
                e.token("t0 ");
                e.fail(common::execution::unknown);
            },
            "failed server_lost unknown",
            1},
        row{"stream ends without its end marker",
            [](fake_backend& e) {
                e.head("text/event-stream");
                e.token("t0 ");
                e.events.done({});
            },
            "failed server_lost unknown",
            1},
        row{"stream with malformed JSON",
            [](fake_backend& e) {
                e.head("text/event-stream");
                e.token("t0 ");
                e.events.chunk("data: {]\n\n");
                e.token("t1 ");
                e.end_stream();
            },
            "failed server_failed ran",
            1},
        row{"HTTP 500",
            [](fake_backend& e) { e.answer("oops", 500); },
            "failed server_failed ran",
            0},
        row{"HTTP 400", [](fake_backend& e) { e.answer("{}", 400); }, "finished", 0});
    INFO(test_case.what);
    core_fixture fixture;
    const auto recorder = fixture.run(core_fixture::chat_request(1));
    test_case.fault(*fixture.backends.at(0));
    CHECK(recorder->outcome() == test_case.outcome);
    REQUIRE(fixture.usage.size() == 1);
    CHECK(fixture.usage[0].used.completion_tokens.value() == test_case.tokens);
    CHECK(fixture.core->is_idle());
    CHECK(fixture.core->counters().in_flight == 0);
}

TEST_CASE("Copies of an at-most-once call never run a second time")
{
    // Copies and later attempts of the call arrive while it runs, after it ended, and after its
    // answer was lost. The record made before the start keeps each of them from running.
    core_fixture fixture;
    const auto first = fixture.run(core_fixture::invoice_request(1));
    REQUIRE(fixture.backends.size() == 1);
    CHECK(
        fixture.run(core_fixture::invoice_request(1))->outcome() == "failed still_running unknown");
    CHECK(
        fixture.run(core_fixture::invoice_request(1, 2))->outcome() ==
        "failed still_running unknown");

    SECTION("the answer is kept for retries")
    {
        fixture.backends[0]->answer("note 7");
        CHECK(first->outcome() == "finished");
        for (const auto attempt : {1U, 2U, 3U}) {
            const auto copy = fixture.run(core_fixture::invoice_request(1, attempt));
            REQUIRE(copy->outcome() == "finished");
            CHECK(copy->final_event<finished_event>()->body == "note 7");
        }
        const auto known = fixture.query_outcome(core_fixture::invoice_request(1).key);
        CHECK(known.state == outcome_state::finished);
        CHECK(known.finished.value().body == "note 7");
    }
    SECTION("the entry disconnects: the call continues, and its answer is kept")
    {
        first->handle->pause();
        first->handle->cancel();
        CHECK_FALSE(fixture.backends[0]->cancelled);
        CHECK_FALSE(fixture.backends[0]->paused);
        CHECK(
            fixture.query_outcome(core_fixture::invoice_request(1).key).state ==
            outcome_state::running);
        fixture.backends[0]->answer("note 7");
        CHECK(first->events.empty());
        CHECK(
            fixture.run(core_fixture::invoice_request(1, 2))->final_event<finished_event>()->body ==
            "note 7");
    }
    SECTION("its outcome stays unknown")
    {
        fixture.backends[0]->fail(common::execution::unknown);
        CHECK(first->outcome() == "failed server_lost unknown");
        CHECK(
            fixture.run(core_fixture::invoice_request(1, 2))->outcome() ==
            "failed duplicate_request unknown");
    }
    SECTION("the backend server got no byte: a later attempt may run")
    {
        fixture.backends[0]->fail(common::execution::not_run);
        CHECK(first->outcome() == "refused no_capacity not_run");
        CHECK(
            fixture.run(core_fixture::invoice_request(1))->outcome() ==
            "refused already_refused not_run");
        fixture.run(core_fixture::invoice_request(1, 2));
        CHECK(fixture.backends.size() == 2);
        return;
    }
    SECTION("its deadline passes")
    {
        fixture.time.run_for(31s);
        CHECK_FALSE(fixture.backends[0]->cancelled);
        fixture.backends[0]->answer("note 7");
        CHECK(first->outcome() == "finished");
    }
    CHECK(fixture.backends.size() == 1);
}

TEST_CASE("A method that the inventory does not list as idempotent runs at most once")
{
    // An entry with an old inventory treats the call as repeatable and sends a second attempt,
    // which the agent must not run.
    core_options options;
    options.queue.capacity.slots = 4;
    core_fixture fixture(options);
    for (const auto attempt : {1U, 2U}) {
        auto request = core_fixture::invoice_request(1, attempt);
        request.repeat = messages::repeat_rule::idempotent;
        fixture.run(request);
    }
    CHECK(fixture.backends.size() == 1);
}

TEST_CASE("A delayed copy is refused after an outcome query recorded a refusal")
{
    // The entry lost its connection, queried the outcome, got "refused" and placed the request
    // elsewhere. The delayed message arrives afterwards, also after a newer attempt.
    core_options options;
    options.queue.capacity.slots = 4;
    core_fixture fixture(options);
    const auto known = fixture.query_outcome(core_fixture::invoice_request(1).key);
    CHECK(known.state == outcome_state::refused);
    CHECK(known.why.value().run == common::execution::not_run);
    CHECK(
        fixture.run(core_fixture::invoice_request(1))->outcome() ==
        "refused already_refused not_run");
    CHECK(fixture.backends.empty());
    fixture.run(core_fixture::invoice_request(1, 3));
    CHECK(fixture.backends.size() == 1);
    CHECK(
        fixture.run(core_fixture::invoice_request(1, 2))->outcome() ==
        "failed still_running unknown");
    fixture.run(core_fixture::chat_request(2, 2));
    CHECK(
        fixture.run(core_fixture::chat_request(2, 1))->outcome() ==
        "refused already_refused not_run");
    CHECK(fixture.backends.size() == 2);
}

TEST_CASE("A new agent neither runs nor reports outcomes of its predecessor's requests")
{
    // The previous agent was killed before or after it called the service. Its successor refuses
    // the copy and answers outcome queries with "unknown", so that the entry does not place the
    // call again.
    core_options options;
    options.incarnation = common::incarnation_id{42};
    core_fixture successor(options);
    const auto old = core_fixture::invoice_request(1);
    CHECK(successor.run(old)->outcome() == "refused wrong_incarnation not_run");
    const auto known = successor.query_outcome(old.key);
    CHECK(known.state == outcome_state::unknown);
    CHECK(known.why.value().run == common::execution::unknown);
    CHECK(successor.backends.empty());
}

TEST_CASE("A drain lets streams finish and refuses queued requests")
{
    // The running stream continues to its end. The queued request is refused and recorded, so that
    // it can be placed elsewhere. Probes report "leaving" at once.
    core_fixture fixture(one_slot());
    const auto running = fixture.run(core_fixture::chat_request(1));
    const auto queued = fixture.run(core_fixture::chat_request(2));
    fixture.backends[0]->head("text/event-stream");
    fixture.backends[0]->token("t0 ");
    fixture.core->drain();
    CHECK(fixture.probe("v1").leaving);
    CHECK(queued->outcome() == "refused server_leaving not_run");
    CHECK(fixture.query_outcome(core_fixture::chat_request(2).key).state == outcome_state::refused);
    CHECK(
        fixture.run(core_fixture::chat_request(3))->outcome() == "refused server_leaving not_run");
    CHECK_FALSE(fixture.core->is_idle());
    fixture.backends[0]->token("t1 ");
    fixture.backends[0]->end_stream();
    CHECK(running->outcome() == "finished");
    CHECK(running->text() == "t0 t1 ");
    CHECK(fixture.core->is_idle());
    CHECK(fixture.core->fail_all_runs() == 0);
}

TEST_CASE("A drain beyond its limit fails the remaining runs and counts them")
{
    core_fixture fixture;
    const auto recorder = fixture.run(core_fixture::chat_request(1));
    fixture.core->drain();
    CHECK(fixture.core->fail_all_runs() == 1);
    CHECK(recorder->outcome() == "failed server_lost unknown");
    CHECK(fixture.backends[0]->cancelled);
    CHECK(fixture.core->is_idle());
}

TEST_CASE("A request that cannot finish in time is refused at once with a retry time")
{
    // The queue is full, or the requests ahead take longer than the deadline allows. The caller
    // gets a refusal instead of a timeout.
    auto options = one_slot();
    options.queue.max_queued = 2;
    core_fixture fixture(options);
    fixture.run(core_fixture::chat_request(1));
    auto hasty = core_fixture::chat_request(2);
    hasty.time_left = 2s;
    const auto late = fixture.run(hasty);
    CHECK(late->outcome() == "refused deadline_too_near not_run");
    CHECK(late->final_event<refused_event>()->retry_after > 0s);
    fixture.run(core_fixture::chat_request(3));
    fixture.run(core_fixture::chat_request(4));
    const auto over = fixture.run(core_fixture::chat_request(5));
    CHECK(over->outcome() == "refused queue_full not_run");
    CHECK(over->final_event<refused_event>()->retry_after > 0s);
    CHECK(fixture.probe("v1").queued == 2);
    CHECK(fixture.probe("v1").estimated_wait > 0s);
}

TEST_CASE("A queued request is refused when too little time is left")
{
    core_fixture fixture(one_slot());
    fixture.run(core_fixture::invoice_request(1));
    const auto waits = fixture.run(core_fixture::chat_request(2));
    fixture.time.run_for(29s);
    CHECK(waits->outcome() == "refused deadline_too_near not_run");
    CHECK(fixture.backends.size() == 1);
}

TEST_CASE("A caller that disconnects frees its slot at the backend server")
{
    core_fixture fixture(one_slot());
    const auto first = fixture.run(core_fixture::chat_request(1));
    const auto second = fixture.run(core_fixture::chat_request(2));
    const auto third = fixture.run(core_fixture::chat_request(3));
    second->handle->cancel();
    CHECK(fixture.query_outcome(core_fixture::chat_request(2).key).state == outcome_state::refused);
    fixture.backends[0]->head("text/event-stream");
    fixture.backends[0]->token("t0 ");
    first->handle->cancel();
    CHECK(fixture.backends[0]->cancelled);
    fixture.backends[0]->token("late ");
    fixture.backends[0]->end_stream();
    CHECK(first->text() == "t0 ");
    CHECK(first->outcome() == "none");
    REQUIRE(fixture.usage.size() == 1);
    CHECK(fixture.usage[0].used.completion_tokens.value() == 1);
    CHECK(fixture.query_outcome(core_fixture::chat_request(1).key).state == outcome_state::failed);
    REQUIRE(fixture.backends.size() == 2);
    fixture.backends[1]->head("text/event-stream");
    fixture.backends[1]->end_stream();
    CHECK(third->outcome() == "finished");
}

TEST_CASE("A slow receiver pauses the backend call")
{
    core_fixture fixture(one_slot());
    const auto first = fixture.run(core_fixture::chat_request(1));
    const auto second = fixture.run(core_fixture::chat_request(2));
    first->handle->pause();
    CHECK(fixture.backends[0]->paused);
    first->handle->resume();
    CHECK_FALSE(fixture.backends[0]->paused);
    second->handle->pause();
    fixture.backends[0]->end_stream();
    REQUIRE(fixture.backends.size() == 2);
    CHECK(fixture.backends[1]->paused);
}

TEST_CASE("An idempotent run ends at its deadline")
{
    core_fixture fixture;
    const auto recorder = fixture.run(core_fixture::chat_request(1));
    fixture.time.run_for(30s);
    CHECK(recorder->outcome() == "failed deadline_passed ran");
    CHECK(fixture.backends[0]->cancelled);
}

} // namespace reedramp::agent::test
