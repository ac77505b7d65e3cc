#pragma once

#include "common/log.hpp"
#include "common/result.hpp"
#include "entry/exchange.hpp"
#include "http/message.hpp"
#include "messages/run.hpp"

/// Sending responses to the caller, and ending an exchange. All functions run on the exchange's
/// queue.
namespace reedramp::entry {

/// Adds the request id, and the version and session token if present.
auto add_reedramp_headers(const exchange& item, http::response& response) -> void;

/// Sends an error: a problem+json response, or an error event if a stream has started. Does nothing
/// if the response is already complete.
auto send_error(exchange& item, const common::error& why) -> void;

/// Sends a complete response.
auto send_response(exchange& item, http::response response) -> void;

/// Sends a chunk of a stream, and before the first one the stream's head.
auto send_chunk(exchange& item, std::string_view text) -> void;

/// Sends the final events of a stream and finishes the response.
auto send_final_events(exchange& item, const messages::finished_event& finished) -> void;

/// Ends the exchange: calls the filters' `on_end`, stores the decision record and removes the
/// exchange from the registry. The response must be complete or the caller disconnected. Later
/// calls do nothing.
auto end_exchange(const exchange_ptr& item, common::result_code code, common::execution run)
    -> void;

/// Sends the error, with the execution state of all attempts, and ends the exchange.
auto refuse(const exchange_ptr& item, common::error why) -> void;

/// Adds a step to the decision record and logs it.
auto record_decision(exchange& item, common::log_part part, decision_step step) -> void;

} // namespace reedramp::entry
