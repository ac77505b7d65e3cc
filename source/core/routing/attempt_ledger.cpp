#include "routing/attempt_ledger.hpp"

#include <algorithm>

namespace reedramp::routing {

auto attempt_ledger::note_end(attempt_end how) -> void
{
    this->has_send_in_flight = false;
    switch (how) {
    case attempt_end::not_sent:
    case attempt_end::not_executed:
        return;
    case attempt_end::ran:
    case attempt_end::unknown:
        this->runs += 1;
        this->may_have_run = true;
        return;
    case attempt_end::unknown_in_queue:
        this->may_have_run = true;
        return;
    }
}

auto attempt_ledger::may_begin_send(const route& on) const -> bool
{
    return !this->has_send_in_flight && (!this->may_have_run || is_repeatable(on));
}

auto attempt_ledger::leaves_room(
    const route& on, unsigned max_sends, unsigned more_runs, unsigned more_sends) const -> bool
{
    // Servers that refuse everything appear the least loaded, so every request tries them first.
    const auto excused = std::min(this->backoffs, max_sends);
    return this->runs + more_runs <= on.max_attempts &&
           this->sent - excused + more_sends <= max_sends;
}

auto attempt_ledger::may_send_again(const route& on, unsigned max_sends) const -> bool
{
    return this->may_begin_send(on) && this->leaves_room(on, max_sends, 1, 1);
}

auto attempt_ledger::may_abandon_send(const route& on, unsigned max_sends) const -> bool
{
    return is_repeatable(on) && this->leaves_room(on, max_sends, 2, 1);
}

auto attempt_ledger::may_discard_answer(const route& on, unsigned max_sends) const -> bool
{
    // The discarded answer was executed too, and is not in the ledger yet.
    return is_repeatable(on) && this->leaves_room(on, max_sends, 2, 2);
}

} // namespace reedramp::routing
