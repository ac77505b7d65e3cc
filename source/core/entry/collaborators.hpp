#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "messages/channel.hpp"
#include "messages/peer.hpp"
#include "messages/run.hpp"

namespace reedramp::inventory {
struct state;
} // namespace reedramp::inventory

namespace reedramp::entry {

using snapshot_ptr = std::shared_ptr<const inventory::state>;

/// What a session's token says: the session stays on this version for its whole life.
struct session_pin {
    common::organisation_id organisation;
    common::session_id session;
    common::model_id model;
    common::version_id version;
    common::wall_time_ms expires;
};

/// Asks which version a chat request is to use.
struct version_question {
    common::organisation_id organisation;
    common::task_name task;
    /// Model or version by name, or `any_model`.
    std::string model;
    common::token_count prompt_tokens;
    common::token_count max_tokens;
    /// The version is for a whole session, not for one request.
    bool for_session = false;
    /// The configuration is known to be current; without it, versions that are rolled out or
    /// sensitive take no new sessions.
    bool fresh = true;
    common::time_point now;
    common::time_point deadline;
    /// Versions that a backend server has refused for this request.
    std::vector<common::version_id> refused;
};

struct version_decision {
    common::model_id model;
    common::version_id version;
    std::string reason;
    common::version_id runner_up;
};

/// Asks which backend server is to run a request.
struct placement_question {
    common::request_id request;
    messages::work_kind kind = messages::work_kind::chat;
    common::organisation_id organisation;
    common::version_id version;
    common::service_name service;
    std::optional<common::session_id> session;
    std::uint64_t prefix_hash = 0;
    common::time_point deadline;
    /// Servers that this request was tried on; the choice avoids them while there are others.
    std::vector<common::server_id> tried;
};

struct placement_decision {
    common::server_id server;
    messages::rpc_address address;
    common::incarnation_id incarnation;
    std::string reason;
    common::server_id runner_up;
};

/// How an attempt ended, for those who keep count of servers and versions.
enum class attempt_end : std::uint8_t { answered, refused, failed, lost, cancelled };

struct attempt_report {
    common::request_id request;
    common::organisation_id organisation;
    common::task_name task;
    common::version_id version;
    common::server_id server;
    attempt_end end = attempt_end::answered;
    common::duration took{};
    messages::usage used;
};

/// What a claim for an idempotency key came to.
enum class claim_verdict : std::uint8_t {
    /// The claim holds: run it as `claim_grant::request`.
    run,
    /// An earlier copy of the request has ended; `claim_grant::outcome` is its answer.
    answered,
    /// An earlier copy is running on the named agent.
    running,
    /// Refused with `claim_grant::why`.
    refused,
};

struct claim_grant {
    claim_verdict verdict = claim_verdict::refused;
    /// The claim that holds; ours for `run`.
    messages::claim_request holder;
    common::log_offset offset;
    messages::outcome_answer outcome;
    std::optional<common::error> why;
};

struct claim_question {
    messages::claim_request claim;
    /// Address of the agent that the claim names.
    messages::rpc_address address;
    common::time_point deadline;
};

struct limit_demand {
    common::organisation_id organisation;
    common::token_count tokens;
    common::micro_money money;
};

/// The parts that the core's filters ask. Each may be called from any thread, outside locks; an
/// answer through a callback may come at once or later, from any thread, exactly once.
struct collaborators {
    common::clock_hook now;
    common::wall_clock_hook wall_now;
    common::random_hook random;
    common::timer_hook timer;
    messages::agent_calls agents;

    /// The newest configuration; null before the first one.
    std::function<auto()->snapshot_ptr> snapshot;
    /// Until when the configuration is known to be current.
    std::function<auto()->common::time_point> current_until;

    std::function<auto(const session_pin& pin)->std::string> sign_pin;
    /// Errors: `bad_session_token`.
    std::function<auto(std::string_view token, const common::organisation_id& organisation)
                      ->common::result<session_pin>>
        verify_pin;

    std::function<auto(const inventory::state& state, const version_question& question)
                      ->common::result<version_decision>>
        choose_version;

    std::function<auto(
                      placement_question question,
                      std::function<auto(common::result<placement_decision> decision)->void> done)
                      ->void>
        place;
    std::function<auto(const attempt_report& report)->void> attempt_started;
    std::function<auto(const attempt_report& report)->void> attempt_ended;

    std::function<
        auto(claim_question question, std::function<auto(claim_grant grant)->void> done)->void>
        claim;

    std::function<auto(const limit_demand& demand)->common::result<void>> take_limits;
    /// Corrects what was taken by what was used.
    std::function<auto(const limit_demand& taken, const limit_demand& used)->void> settle_limits;

    std::function<
        auto(const common::version_id& version, const messages::usage& used)->common::micro_money>
        price;
    /// False while the collector is full: then new work is refused, so that no bill is dropped.
    std::function<auto()->bool> accepts_bills;
    std::function<auto(messages::bill bill)->void> bill;

    /// Hands an answered question to the rating service. May be empty.
    std::function<auto(common::request_id request, std::string question, std::string answer)->void>
        rate;
    std::function<auto()->std::string> metrics_text;
};

} // namespace reedramp::entry
