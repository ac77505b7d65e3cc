#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "messages/peer.hpp"
#include "messages/run.hpp"

namespace reedramp::claims {

struct claimant_config {
    /// Delay between two queries about a run in progress, or to an agent that did not answer.
    common::duration query_interval = std::chrono::milliseconds{100};
    /// How long an unreachable agent is queried before the outcome counts as `unknown`.
    common::duration unreachable_agent_timeout = std::chrono::seconds{2};
    /// Arbiters tried for one claim, in rank order. It is safe if two arbiters get the same claim.
    std::size_t max_arbiter_tries = 2;
    /// Claims per request: the first one, plus one for each holder found not to run.
    std::uint32_t max_claims = 4;
};

/// Send the claim to the arbiter of this rank, then call `on_claim` with its answer.
struct send_claim {
    std::size_t arbiter_rank = 0;
    messages::claim_request claim;
};

/// Query the agent of `server`, then call `on_outcome` with its answer.
struct query_agent {
    common::server_id server;
    messages::outcome_query query;
};

/// Call `on_wait_over` at `when`.
struct wait_until {
    common::time_point when;
};

/// The claim holds the key: dispatch the request. If the agent records a refusal, claim again with
/// `replaces` = `offset` and the next attempt number before trying another agent.
struct claim_granted {
    messages::claim_request claim;
    common::log_offset offset;
};

/// An earlier copy of the request has ended. The caller gets its answer, which the agent kept.
struct claim_answered {
    messages::claim_request holder;
    common::log_offset offset;
    messages::outcome_answer outcome;
};

/// The request must not be run. `why.run` is the execution state of an earlier copy: `not_run` with
/// `claims_unavailable` and `key_reused`, `unknown` with `still_running` and `outcome_unknown`.
struct claim_refused {
    common::error why;
    /// The claim that holds the key, if known.
    std::optional<messages::claim_request> holder = std::nullopt;
};

using claim_step =
    std::variant<send_claim, query_agent, wait_until, claim_granted, claim_answered, claim_refused>;

/// State machine of an entry for one request with an idempotency key; each event returns the next
/// step. Not thread-safe.
///
/// A lost claim names the agent that received the earlier copy. That agent knows the outcome, or
/// records a refusal, which frees the key for another claim. Only if the agent no longer exists is
/// the outcome `unknown`: the request may have run and is not run again.
class claimant {
public:
    claimant(
        claimant_config settings, messages::claim_request initial_claim, common::time_point until);

    [[nodiscard]] auto start() -> claim_step;

    /// Handles the arbiter's answer; an error means that the arbiter could not be reached.
    [[nodiscard]] auto
    on_claim(const common::result<messages::claim_answer>& answer, common::time_point now)
        -> claim_step;

    /// Handles the answer of the holder's agent. The query is retried for a while after
    /// `peer_unavailable` and `server_lost`; `wrong_incarnation` and `not_found` mean that the
    /// holder's agent no longer exists.
    [[nodiscard]] auto
    on_outcome(const common::result<messages::outcome_answer>& answer, common::time_point now)
        -> claim_step;

    [[nodiscard]] auto on_wait_over(common::time_point now) -> claim_step;

private:
    [[nodiscard]] auto send() const -> claim_step;
    [[nodiscard]] auto query() const -> claim_step;
    [[nodiscard]] auto query_later(common::time_point now) -> claim_step;
    [[nodiscard]] auto replace_holder() -> claim_step;
    [[nodiscard]] auto refuse(common::result_code code) const -> claim_step;

    claimant_config config;
    messages::claim_request claim;
    common::time_point deadline;
    std::size_t arbiter_rank = 0;
    std::uint32_t claims_made = 0;
    messages::claim_request holder;
    common::log_offset holder_offset;
    /// Time at which the holder's agent counts as lost; set while it does not answer.
    std::optional<common::time_point> agent_deadline;
};

} // namespace reedramp::claims
