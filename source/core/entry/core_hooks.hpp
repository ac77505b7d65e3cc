#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "claims/claim_client.hpp"
#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "inventory/state.hpp"
#include "limits/shared_limiter.hpp"
#include "messages/channel.hpp"
#include "messages/peer.hpp"
#include "messages/run.hpp"
#include "session/pin.hpp"

namespace reedramp::entry {

/// Input for the choice of the version that is to serve a chat request or session.
struct version_query {
    common::request_id request;
    common::organisation_id organisation;
    common::task_name task;
    /// Name of a model or version, or `any_model`.
    std::string model;
    common::token_count prompt_tokens;
    common::token_count max_tokens;
    /// Whether the version is chosen for a whole session instead of one request.
    bool for_session = false;
    common::time_point now;
    common::time_point deadline;
    /// Until when the configuration is known to be current.
    common::time_point current_until;
    /// Versions that a backend server refused to run for this request; never chosen.
    std::vector<common::version_id> refused;
};

struct version_decision {
    common::model_id model;
    common::version_id version;
    std::string reason;
    common::version_id runner_up;
};

/// Input for the choice of the backend server that is to run a request.
struct placement_query {
    common::request_id request;
    messages::work_kind kind = messages::work_kind::chat;
    common::version_id version;
    common::service_name service;
    std::optional<common::session_id> session;
    std::uint64_t prefix_hash = 0;
    common::time_point deadline;
    /// Servers on which this request has already been attempted; never chosen.
    std::vector<common::server_id> tried_servers;
};

struct placement_decision {
    common::server_id server;
    messages::rpc_address address;
    common::incarnation_id incarnation;
    std::string reason;
    common::server_id runner_up;
};

/// How an attempt ended, as reported to the trackers of servers and versions.
enum class attempt_end : std::uint8_t { answered, refused, never_sent, failed, lost, cancelled };

struct attempt_report {
    common::request_id request;
    common::organisation_id organisation;
    common::task_name task;
    messages::work_kind kind = messages::work_kind::chat;
    common::version_id version;
    common::server_id server;
    common::incarnation_id incarnation;
    attempt_end end = attempt_end::answered;
    /// `ok` if the attempt was answered.
    common::result_code code = common::result_code::ok;
    common::duration elapsed{};
    messages::usage used;
};

/// A chat request and its response, to be submitted to the rating service.
struct rated_chat {
    common::request_id request;
    common::organisation_id organisation;
    common::task_name task;
    common::version_id version;
    std::string question;
    std::string answer;
};

/// Hooks through which the filters of the core reach the rest of the process. Each may be called
/// from any thread and is called without locks held. A completion callback may be called
/// immediately or later, from any thread, exactly once.
struct core_hooks {
    common::clock_hook now;
    common::wall_clock_hook wall_now;
    common::random_hook random;
    common::timer_hook timer;
    messages::agent_calls agents;

    /// Latest configuration; null until one has been read.
    std::function<auto()->inventory::snapshot_ptr> snapshot;
    /// Until when the configuration is known to be current.
    std::function<auto()->common::time_point> current_until;

    /// Returns the number of live entries, this one included. Empty if it is the only one.
    std::function<auto()->std::size_t> entry_count = {};
    /// Whether enough backend servers are known for the entry to be ready. May be empty.
    std::function<auto()->bool> knows_servers;

    /// Keys that sign and verify session tokens.
    session::key_ring keys;

    std::function<auto(const inventory::state& current, const version_query& query)
                      ->common::result<version_decision>>
        choose_version;

    std::function<auto(
                      placement_query query,
                      std::function<auto(common::result<placement_decision> decision)->void> done)
                      ->void>
        place;
    /// May be empty, as may `attempt_ended`.
    std::function<auto(const attempt_report& report)->void> attempt_started;
    std::function<auto(const attempt_report& report)->void> attempt_ended;

    /// Calls `claims::claim_key`. If empty, idempotency keys can't be claimed.
    std::function<auto(
                      messages::claim_request claim,
                      common::time_point deadline,
                      std::function<auto(claims::claim_result end)->void> done)
                      ->void>
        claim;

    /// Asks a claim arbiter which version a caller-chosen session name belongs to. If empty, such
    /// names are refused. Errors: `claims_unavailable`.
    std::function<
        auto(messages::claim_request claim, messages::answer_hook<messages::claim_answer> done)
            ->void>
        claim_name;

    /// Reserves the expected amounts from the organisation's limits. Errors: `limit_requests`,
    /// `limit_tokens`, `limit_money`.
    std::function<auto(const common::organisation_id& organisation, const limits::amounts& expected)
                      ->common::result<void>>
        reserve_limits;
    /// Replaces a reservation by the amounts that were used.
    std::function<auto(
                      const common::organisation_id& organisation,
                      const limits::amounts& expected,
                      const limits::amounts& used)
                      ->void>
        settle_limits;

    /// False while the bill collector is full. New work is then refused, so that no bill is
    /// dropped.
    std::function<auto()->bool> accepts_bills;
    std::function<auto(messages::bill item)->void> add_bill;

    /// Submits an answered chat to the rating service. May be empty.
    std::function<auto(rated_chat item)->void> submit_for_rating;
    std::function<auto()->std::string> metrics_text;
};

} // namespace reedramp::entry
