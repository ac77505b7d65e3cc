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
    /// Sends the claim to the entry of this rank (see `claim_arbiter_set::ranked_entries`). Errors
    /// with `peer_unavailable` if no entry has that rank.
    std::function<auto(
                      std::size_t rank,
                      messages::claim_request claim,
                      messages::answer_hook<messages::claim_answer> done)
                      ->void>
        claim;
    /// Queries the agent of a server. Errors with `not_found` if its address is not known.
    std::function<auto(
                      const common::server_id& server,
                      messages::outcome_query query,
                      messages::answer_hook<messages::outcome_answer> done)
                      ->void>
        query_outcome;
};

/// Final step of a claim.
using claim_result = std::variant<claim_granted, claim_answered, claim_refused>;

/// Runs a `claimant` until the claim has a final result. `done` is called exactly once, from any
/// thread. A hook call that has not been answered by the deadline is treated as unreachable.
auto claim_key(
    const claimant_config& config,
    const claim_client_hooks& hooks,
    messages::claim_request claim,
    common::time_point deadline,
    std::function<auto(claim_result result)->void> done) -> void;

} // namespace reedramp::claims
