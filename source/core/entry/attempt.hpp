#pragma once

#include "common/result.hpp"
#include "entry/exchange.hpp"
#include "entry/recovery.hpp"
#include "messages/run.hpp"

/// Processing of an exchange from its dispatch to its end. All functions run on the exchange's
/// queue and do nothing once the exchange has ended.
namespace reedramp::entry {

/// Passes a complete response on to the caller and ends the exchange.
auto complete_attempt(const exchange_ptr& item, messages::finished_event finished) -> void;

/// Handles an attempt that ended without a complete response: queries its outcome, retries or fails
/// the request.
auto fail_attempt(const exchange_ptr& item, attempt_failure failure, common::error why) -> void;

/// Queries the agent for the outcome of the current attempt.
auto query_outcome(const exchange_ptr& item) -> void;

/// Sends the final error when no further attempt is made. `why.run` is the execution state of the
/// current attempt; the error sent also takes the earlier attempts into account.
auto fail_request(const exchange_ptr& item, common::error why) -> void;

/// Handles the passing of the caller's deadline.
auto on_deadline_passed(const exchange_ptr& item) -> void;

/// Handles a caller that has closed the connection or reads too slowly.
auto on_caller_disconnected(const exchange_ptr& item) -> void;

/// Aborts an exchange that is still in flight at the shutdown deadline, and counts it if its
/// response was incomplete.
auto abort_exchange(const exchange_ptr& item) -> void;

/// Adds a line for the current attempt to the bill.
auto add_bill_line(exchange& item, const messages::usage& used) -> void;

/// Usage of the current attempt as observed by the entry, for when the agent can't be queried.
auto observed_usage(const exchange& item) -> messages::usage;

auto report_attempt_end(const exchange& item, attempt_end end, common::result_code code) -> void;

/// Cancels the current attempt, whose caller has its response or has disconnected, and queries the
/// agent for the usage. Then ends the exchange.
auto settle_attempt(const exchange_ptr& item, common::result_code code, common::execution run)
    -> void;

} // namespace reedramp::entry
