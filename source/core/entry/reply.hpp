#pragma once

#include "common/log.hpp"
#include "common/result.hpp"
#include "entry/exchange.hpp"
#include "http/message.hpp"
#include "messages/run.hpp"

/// What goes back to the caller, and the end of an exchange. All on the exchange's queue.
namespace reedramp::entry {

/// Adds the request id, and the version and session token if there are any.
auto add_reedramp_headers(const exchange& item, http::response& answer) -> void;

/// Sends an error: a problem+json answer, or an error event if a stream has begun. Later calls do
/// nothing.
auto send_error(exchange& item, const common::error& why) -> void;

/// Sends a whole answer.
auto send_response(exchange& item, http::response answer) -> void;

/// Begins the stream if it has not begun, and sends a piece.
auto send_chunk(exchange& item, std::string_view text) -> void;

/// Sends the last events of a stream.
auto send_final_events(exchange& item, const messages::finished_event& finished) -> void;

/// Ends the exchange: filters' `on_end`, the decision record, the registry. The caller has its
/// answer or has left. Later calls do nothing.
auto end_exchange(const exchange_ptr& item, common::result_code code, common::execution run)
    -> void;

/// Sends the error and ends the exchange. For requests of which nothing was sent to a server.
auto refuse(const exchange_ptr& item, common::error why) -> void;

/// Adds a step to the decision record and writes it as a log line.
auto record_decision(exchange& item, common::log_part part, decision_step step) -> void;

} // namespace reedramp::entry
