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
    /// Between two questions about a run that goes on, or to an agent that did not answer.
    common::duration ask_interval = std::chrono::milliseconds{100};
    /// How long an agent that cannot be reached is asked again before the outcome is `unknown`.
    common::duration lost_agent_wait = std::chrono::seconds{2};
    /// Entries asked to decide a claim, best first. A second keeper is harmless.
    std::size_t max_arbiter_tries = 2;
    /// Claims made for one request: the first, and one for each holder found not to run.
    std::uint32_t claim_tries = 4;
};

/// Ask the keeper of this rank, then call `on_claim`.
struct send_claim {
    std::size_t arbiter_rank = 0;
    messages::claim_request claim;
};

/// Ask the agent beside `server`, then call `on_outcome`.
struct ask_holder {
    common::server_id server;
    messages::outcome_query query;
};

/// Call `on_wait_over` then.
struct wait_until {
    common::time_point when;
};

/// The claim holds: dispatch it. After a recorded refusal, claim again with `replaces` = `offset`
/// and the next attempt number before trying another agent.
struct claim_granted {
    messages::claim_request claim;
    common::log_offset offset;
};

/// An earlier copy has ended; its answer, kept by the agent, is the caller's.
struct claim_answered {
    messages::claim_request holder;
    common::log_offset offset;
    messages::outcome_answer outcome;
};

/// The request is not to be run. `why.run` says what is known of an earlier copy:
/// `claims_unavailable` and `key_reused` with `not_run`, `still_running` or `outcome_unknown` with
/// `unknown`.
struct claim_refused {
    common::error why;
    /// The claim in the way, if one is known.
    std::optional<messages::claim_request> holder = std::nullopt;
};

using claim_step =
    std::variant<send_claim, ask_holder, wait_until, claim_granted, claim_answered, claim_refused>;

/// The entry's side of one keyed request: what to do next after each event.
///
/// A lost claim names the agent that got the earlier copy. That agent knows the outcome, or records
/// a refusal, which frees the key for a second claim. Only when the agent is gone too is the
/// outcome `unknown`: the request may have run and is not run again.
class claimant {
public:
    claimant(claimant_config settings, messages::claim_request wanted, common::time_point until);

    [[nodiscard]] auto start() -> claim_step;

    /// The keeper's answer; an error means that the keeper could not be reached.
    [[nodiscard]] auto
    on_claim(const common::result<messages::claim_answer>& answer, common::time_point now)
        -> claim_step;

    /// The holder's agent's answer. Errors `peer_unavailable` and `server_lost` are asked again for
    /// a while; `wrong_incarnation` and `not_found` mean that the agent asked about is gone.
    [[nodiscard]] auto
    on_outcome(const common::result<messages::outcome_answer>& answer, common::time_point now)
        -> claim_step;

    [[nodiscard]] auto on_wait_over(common::time_point now) -> claim_step;

private:
    [[nodiscard]] auto send() const -> claim_step;
    [[nodiscard]] auto ask() const -> claim_step;
    [[nodiscard]] auto ask_later(common::time_point now) -> claim_step;
    [[nodiscard]] auto claim_instead() -> claim_step;
    [[nodiscard]] auto refuse(common::result_code code) const -> claim_step;

    claimant_config config;
    messages::claim_request claim;
    common::time_point deadline;
    std::size_t arbiter_rank = 0;
    std::uint32_t claims_made = 0;
    messages::claim_request holder;
    common::log_offset holder_offset;
    /// Set while the holder's agent does not answer: when to give it up.
    std::optional<common::time_point> give_up_agent;
};

} // namespace reedramp::claims
