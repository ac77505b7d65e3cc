#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "claims/claimant.hpp"
#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "messages/channel.hpp"
#include "messages/peer.hpp"
#include "messages/run.hpp"

namespace reedramp::claims {

struct claim_client_hooks {
    common::clock_hook now;
    common::timer_hook timer;
    /// Asks the entry of this rank for the key (see `claim_arbiter_set::ranked_entries`);
    /// `peer_unavailable` when there is none of that rank.
    std::function<auto(
                      std::size_t rank,
                      messages::claim_request claim,
                      messages::answer_hook<messages::claim_answer> done)
                      ->void>
        claim;
    /// Asks the agent beside a server; `not_found` when no address of the server is known.
    std::function<auto(
                      const common::server_id& server,
                      messages::outcome_query query,
                      messages::answer_hook<messages::outcome_answer> done)
                      ->void>
        query_outcome;
};

/// How a claim ended; see the types.
using claim_result = std::variant<claim_granted, claim_answered, claim_refused>;

/// Carries out a claimant's steps until the claim has ended. `done` is called exactly once.
/// Each call of a hook that has not answered is given up at the deadline.
auto claim_key(
    const claimant_config& config,
    const claim_client_hooks& hooks,
    messages::claim_request wanted,
    common::time_point deadline,
    std::function<auto(claim_result end)->void> done) -> void;

} // namespace reedramp::claims
