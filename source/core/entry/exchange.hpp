#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "entry/callers_api.hpp"
#include "entry/core_hooks.hpp"
#include "entry/decisions.hpp"
#include "entry/sent_token_tracker.hpp"
#include "entry/serial_queue.hpp"
#include "http/message.hpp"
#include "http/server.hpp"
#include "inventory/state.hpp"
#include "messages/run.hpp"
#include "session/pin.hpp"

namespace reedramp::entry {

class core_context;
class filter_chain;

enum class attempt_phase : std::uint8_t {
    /// No attempt is in flight: filters are running or waiting.
    none,
    running,
    /// The response was lost; the agent is queried for the outcome of the attempt.
    querying_outcome,
    /// The caller has its response or has disconnected; the agent is queried for the usage to bill.
    settling,
};

/// The current attempt to run a request on a backend server.
struct attempt_state {
    common::attempt_number number;
    attempt_phase phase = attempt_phase::none;
    messages::run_key key;
    common::time_point started;
    std::shared_ptr<messages::run_handle> handle;
    bool paused = false;
    /// Number of tokens that the caller had received when the attempt began.
    std::uint64_t first_token_index = 0;
    common::time_point query_until;
    common::error loss_reason;
};

enum class response_phase : std::uint8_t {
    none,
    /// The head of a stream, and possibly tokens, have been sent.
    started,
    /// The response is complete, or the caller has disconnected.
    ended,
};

/// A caller's request and its state as it passes through the filter chain.
///
/// All members except `queue` are accessed only by actions that run on `queue`.
struct exchange : std::enable_shared_from_this<exchange> {
    exchange(std::shared_ptr<core_context> owner, std::size_t text_limit)
        : context(std::move(owner)), tokens(text_limit)
    {
    }

    std::shared_ptr<core_context> context;
    const filter_chain* chain = nullptr;
    /// Index of the next filter to run.
    std::size_t next_filter = 0;
    /// Number of filters that have run at least once; `filter_chain::end` covers these.
    std::size_t filters_started = 0;
    serial_queue queue;

    common::request_id id;
    /// Request id on the bill: that of an earlier copy of the request if its response is passed on.
    common::request_id billing_id;
    http::request request;
    std::shared_ptr<http::responder> responder;
    common::time_point arrived;
    common::time_point deadline;
    route matched_route;
    caller_headers headers;
    chat_request chat;
    session_request requested_session;
    messages::work_kind kind = messages::work_kind::chat;
    messages::repeat_rule repeat = messages::repeat_rule::idempotent;

    inventory::snapshot_ptr state;
    common::organisation_id organisation;
    std::optional<session::pin> pin;
    common::model_id model;
    common::version_id version;
    std::vector<common::version_id> refused_versions;
    placement_decision placement;
    std::vector<common::server_id> tried_servers;
    std::optional<limits::amounts> reserved_amounts;
    /// Log offset of the claim in force for this request.
    std::optional<common::log_offset> claim_offset;

    attempt_state attempt;
    /// Combined execution state of the earlier attempts.
    common::execution past_execution = common::execution::not_run;
    std::optional<common::error> last_failure;
    sent_token_tracker tokens;
    sse_writer events;
    /// Text of the response, kept only if the chat is going to be rated.
    std::string response_text;
    bool is_rated = false;
    response_phase response = response_phase::none;
    bool ended = false;
    common::result_code result = common::result_code::ok;
    std::vector<messages::bill_line> bill_lines;
    decision_record decisions;
};

using exchange_ptr = std::shared_ptr<exchange>;

/// Runs `action` on the queue of `item` and keeps `item` alive until then.
template <typename Action>
auto post(const exchange_ptr& item, Action action) -> void
{
    item->queue.post([item, action = std::move(action)]() mutable { action(item); });
}

} // namespace reedramp::entry
