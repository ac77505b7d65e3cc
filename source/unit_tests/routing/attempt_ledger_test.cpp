#include "routing/attempt_ledger.hpp"

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

auto route_of(request_kind kind, bool resumable, unsigned attempts) -> route
{
    route made;
    made.kind = kind;
    made.is_resumable = resumable;
    made.max_attempts = attempts;
    return made;
}

auto after(attempt_end how) -> attempt_ledger
{
    attempt_ledger ledger;
    ledger.note_sent();
    ledger.note_end(how);
    return ledger;
}

constexpr unsigned max_sends = 4;

} // namespace

TEST_CASE("a request counts as not executed, or is resent, only if that is safe", "[ledger]")
{
    const auto once = route_of(request_kind::non_idempotent, false, 1);
    const auto again = route_of(request_kind::idempotent, false, 2);
    const auto stream = route_of(request_kind::stream, true, 2);
    const auto fixed_stream = route_of(request_kind::stream, false, 2);

    struct row {
        attempt_end how;
        bool not_run;
        bool once_again;
        bool repeatable_again;
    };

    for (const auto& [how, not_run, once_again, repeatable_again] :
         {row{attempt_end::not_sent, true, true, true},
          row{attempt_end::not_executed, true, true, true},
          row{attempt_end::unknown, false, false, true},
          row{attempt_end::unknown_in_queue, false, false, true},
          row{attempt_end::ran, false, false, true}}) {
        INFO("end " << static_cast<int>(how));
        const auto ledger = after(how);
        CHECK(ledger.is_not_run() == not_run);
        CHECK(ledger.may_send_again(once, max_sends) == once_again);
        CHECK(ledger.may_send_again(fixed_stream, max_sends) == once_again);
        CHECK(ledger.may_send_again(again, max_sends) == repeatable_again);
        CHECK(ledger.may_send_again(stream, max_sends) == repeatable_again);
    }
}

// Guards against a second send of a request by a timer or a retry while the first is in flight.
TEST_CASE("no send begins while another is in flight", "[ledger]")
{
    for (const auto kind :
         {request_kind::idempotent, request_kind::non_idempotent, request_kind::stream}) {
        const auto on = route_of(kind, true, 3);
        attempt_ledger ledger;
        CHECK(ledger.may_begin_send(on));
        ledger.note_sent();
        CHECK_FALSE(ledger.may_begin_send(on));
        CHECK_FALSE(ledger.may_send_again(on, max_sends));
        ledger.note_end(attempt_end::not_executed);
        CHECK(ledger.may_begin_send(on));
        ledger.note_sent();
        ledger.note_end(attempt_end::unknown);
        CHECK(ledger.may_begin_send(on) == (kind != request_kind::non_idempotent));
    }
}

TEST_CASE("executions and sends are limited", "[ledger]")
{
    const auto again = route_of(request_kind::idempotent, false, 2);
    auto ledger = after(attempt_end::ran);
    ledger.note_sent();
    // No response: it may be the second execution, and there must be no third.
    ledger.note_end(attempt_end::unknown);
    CHECK_FALSE(ledger.may_send_again(again, max_sends));
    auto refused = after(attempt_end::not_executed);
    for (unsigned i = 1; i < max_sends; ++i) {
        CHECK(refused.may_send_again(again, max_sends));
        refused.note_sent();
        refused.note_end(attempt_end::not_executed);
    }
    CHECK_FALSE(refused.may_send_again(again, max_sends));
}

TEST_CASE("an answer is discarded only if two more attempts are left", "[ledger]")
{
    attempt_ledger ledger;
    ledger.note_sent();
    CHECK(ledger.may_discard_answer(route_of(request_kind::stream, true, 3), max_sends));
    CHECK(ledger.may_discard_answer(route_of(request_kind::stream, true, 2), max_sends));
    CHECK_FALSE(ledger.may_discard_answer(route_of(request_kind::stream, true, 1), max_sends));
    CHECK_FALSE(
        ledger.may_discard_answer(route_of(request_kind::non_idempotent, false, 3), max_sends));
}

TEST_CASE("refusals with a backoff do not use up a request's sends, and are limited", "[rest]")
{
    route on;
    on.kind = request_kind::non_idempotent;
    on.max_attempts = 1;
    constexpr unsigned max_sends = 4;
    attempt_ledger ledger;
    const auto refuse = [&ledger] {
        ledger.note_sent();
        ledger.note_end(attempt_end::not_executed);
        ledger.note_backoff_asked();
    };
    for (unsigned i = 0; i < 2 * max_sends - 1; ++i) {
        refuse();
        CHECK(ledger.may_send_again(on, max_sends));
    }
    refuse();
    CHECK_FALSE(ledger.may_send_again(on, max_sends));
    CHECK(ledger.is_not_run());
}

} // namespace reedramp::routing
