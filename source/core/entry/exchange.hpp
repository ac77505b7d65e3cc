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
    /// Nothing is under way: filters run, or wait.
    none,
    running,
    /// The answer was lost; the agent is asked what became of it.
    querying_outcome,
    /// The caller has its answer or has left; the agent is asked what was used, for the bill.
    settling,
};

/// The present try of a request on one backend server.
struct attempt_state {
    common::attempt_number number;
    attempt_phase phase = attempt_phase::none;
    messages::run_key key;
    common::time_point started;
    std::shared_ptr<messages::run_handle> handle;
    bool paused = false;
    /// Tokens that the caller had when the attempt began.
    std::uint64_t first_token_index = 0;
    common::time_point query_until;
    common::error loss_reason;
};

enum class response_phase : std::uint8_t {
    none,
    /// Head and perhaps tokens of a stream are sent.
    started,
    /// All is sent, or the caller has left.
    ended,
};

/// One request of a caller on its way through the filters.
///
/// All members but `queue` are touched only by actions on `queue`.
struct exchange : std::enable_shared_from_this<exchange> {
    exchange(std::shared_ptr<core_context> owner, std::size_t text_limit)
        : context(std::move(owner)), tokens(text_limit)
    {
    }

    std::shared_ptr<core_context> context;
    const filter_chain* chain = nullptr;
    /// Index of the filter that runs next.
    std::size_t next_filter = 0;
    /// How many filters have run at least once.
    std::size_t filters_started = 0;
    serial_queue queue;

    common::request_id id;
    /// The id under which it is billed: that of an earlier copy, if its answer is passed on.
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
    /// Offset of the claim that holds for this request.
    std::optional<common::log_offset> claim_offset;

    attempt_state attempt;
    /// What is known of earlier attempts together.
    common::execution past_execution = common::execution::not_run;
    std::optional<common::error> last_failure;
    sent_token_tracker tokens;
    sse_writer events;
    /// Text of the answer, if it is going to be rated.
    std::string response_text;
    bool is_rated = false;
    response_phase response = response_phase::none;
    bool ended = false;
    common::result_code result = common::result_code::ok;
    std::vector<messages::bill_line> bill_lines;
    decision_record decisions;
};

using exchange_ptr = std::shared_ptr<exchange>;

/// Runs `action` on the exchange's queue and keeps the exchange alive until then.
template <typename Action>
auto post(const exchange_ptr& item, Action action) -> void
{
    item->queue.post([item, action = std::move(action)]() mutable { action(item); });
}

} // namespace reedramp::entry
