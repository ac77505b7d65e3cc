#pragma once

#include "common/result.hpp"
#include "entry/exchange.hpp"
#include "entry/recovery.hpp"
#include "messages/run.hpp"

/// The steps of an exchange from its dispatch to its end. All on the exchange's queue, and without
/// effect once the exchange has ended.
namespace reedramp::entry {

/// The whole answer is there: pass it on, and end.
auto complete_attempt(const exchange_ptr& item, messages::finished_event finished) -> void;

/// The present attempt brought no whole answer: ask, try again or give up.
auto fail_attempt(const exchange_ptr& item, attempt_failure failure, common::error why) -> void;

/// Asks the agent what became of the present attempt.
auto query_outcome(const exchange_ptr& item) -> void;

/// Final answer when no more is tried. `why.run` says what is known of the present attempt; what
/// the caller is told covers the earlier ones as well.
auto fail_request(const exchange_ptr& item, common::error why) -> void;

/// The caller's deadline has passed.
auto on_deadline_passed(const exchange_ptr& item) -> void;

/// The caller has closed the connection, or reads too slowly.
auto on_caller_disconnected(const exchange_ptr& item) -> void;

/// The deadline of a graceful shutdown has passed. Counts an answer that it cuts.
auto abort_exchange(const exchange_ptr& item) -> void;

/// Adds a line to the bill for the present attempt.
auto add_bill_line(exchange& item, const messages::usage& used) -> void;

/// Usage as far as the entry has seen it, when the agent can't be asked.
auto observed_usage(const exchange& item) -> messages::usage;

auto report_attempt_end(const exchange& item, attempt_end end, common::result_code code) -> void;

/// Ends the present attempt, whose caller has its answer or has left, and asks the agent what was
/// used. Then ends the exchange.
auto settle_attempt(const exchange_ptr& item, common::result_code code, common::execution run)
    -> void;

} // namespace reedramp::entry
