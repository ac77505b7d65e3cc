#include "routing/attempt_ledger.hpp"

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

auto route_of(request_kind kind, bool resumable, unsigned attempts) -> route
{
    route made;
    made.kind = kind;
    made.is_resumable = resumable;
    made.most_attempts = attempts;
    return made;
}

auto after(attempt_end how) -> attempt_ledger
{
    attempt_ledger ledger;
    ledger.note_sent();
    ledger.note_end(how);
    return ledger;
}

constexpr unsigned most_sends = 4;

} // namespace

TEST_CASE("only what can't have run may be called so, or be sent again blindly", "[ledger]")
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
        CHECK(ledger.may_send_again(once, most_sends) == once_again);
        CHECK(ledger.may_send_again(fixed_stream, most_sends) == once_again);
        CHECK(ledger.may_send_again(again, most_sends) == repeatable_again);
        CHECK(ledger.may_send_again(stream, most_sends) == repeatable_again);
    }
}

TEST_CASE("runs and sends are bounded", "[ledger]")
{
    const auto again = route_of(request_kind::idempotent, false, 2);
    auto ledger = after(attempt_end::ran);
    ledger.note_sent();
    // Nothing came back: it may be the second run, and there must be no third.
    ledger.note_end(attempt_end::unknown);
    CHECK_FALSE(ledger.may_send_again(again, most_sends));
    auto refused = after(attempt_end::not_executed);
    for (unsigned i = 1; i < most_sends; ++i) {
        CHECK(refused.may_send_again(again, most_sends));
        refused.note_sent();
        refused.note_end(attempt_end::not_executed);
    }
    CHECK_FALSE(refused.may_send_again(again, most_sends));
}

TEST_CASE("an answer is dropped only if two more attempts are left", "[ledger]")
{
    attempt_ledger ledger;
    ledger.note_sent();
    CHECK(ledger.may_be_dropped(route_of(request_kind::stream, true, 3), most_sends));
    CHECK(ledger.may_be_dropped(route_of(request_kind::stream, true, 2), most_sends));
    CHECK_FALSE(ledger.may_be_dropped(route_of(request_kind::stream, true, 1), most_sends));
    CHECK_FALSE(
        ledger.may_be_dropped(route_of(request_kind::non_idempotent, false, 3), most_sends));
}

TEST_CASE("refusals that ask for rest leave a request its other sends, and are bounded", "[rest]")
{
    route on;
    on.kind = request_kind::non_idempotent;
    on.most_attempts = 1;
    constexpr unsigned most_sends = 4;
    attempt_ledger ledger;
    const auto refuse = [&ledger] {
        ledger.note_sent();
        ledger.note_end(attempt_end::not_executed);
        ledger.note_rest_asked();
    };
    for (unsigned i = 0; i < 2 * most_sends - 1; ++i) {
        refuse();
        CHECK(ledger.may_send_again(on, most_sends));
    }
    refuse();
    CHECK_FALSE(ledger.may_send_again(on, most_sends));
    CHECK(ledger.is_not_run());
}

} // namespace reedramp::routing
