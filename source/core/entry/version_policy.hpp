#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "control/evidence_aggregator.hpp"
#include "control/evidence_recorder.hpp"
#include "control/rollout.hpp"
#include "entry/core_hooks.hpp"
#include "inventory/state.hpp"
#include "messages/peer.hpp"
#include "platform/hooks.hpp"
#include "policy/option_choice.hpp"
#include "policy/quality.hpp"

namespace reedramp::entry {

struct version_policy_settings {
    policy::quality_options quality;
    control::rollout_options rollouts;
    /// Share of requests outside sessions that may explore a cheaper version.
    double explore_share = 0.03;
    /// Responses that take longer count as slow for the regression detector of a roll-out.
    common::duration slow_after = std::chrono::seconds(10);
    /// Maximum number of answers that wait for their rating.
    std::size_t awaiting_limit = 50'000;
};

/// Chooses versions by cost at the quality target, using quality estimates from ratings, and
/// controls roll-outs using this entry's evidence pooled with that of the other entries.
/// Thread-safe.
class version_policy {
public:
    explicit version_policy(version_policy_settings wanted);

    /// Implements `core_hooks::choose_version`; `chance` is uniform in [0, 1). Errors: those of
    /// `eligible_versions`; `organisation_not_allowed` if all versions are above the price ceiling;
    /// `no_capacity` if no version suits the request.
    auto choose(const inventory::state& current, const version_query& query, double chance)
        -> common::result<version_decision>;

    /// Records the result of an attempt as evidence.
    auto on_attempt(const inventory::state& current, const attempt_report& report) -> void;

    /// Records that an answer was submitted to the rating service.
    auto on_submitted(const common::request_id& request, control::rated_answer answer) -> void;

    auto on_ratings(const inventory::state& current, const std::vector<platform::rating>& ratings)
        -> void;

    /// This entry's evidence, to be sent to the other entries.
    [[nodiscard]] auto evidence() const -> std::vector<messages::version_evidence>;

    /// Applies the evidence of an entry, including this one.
    auto apply_evidence(const messages::gossip& gossip) -> void;

    /// Evaluates the roll-outs; to be called every second. `rank` is this entry's rank among all
    /// entries.
    auto tick(const inventory::state& current, std::uint32_t rank, common::time_point now)
        -> std::vector<control::rollout_action>;

private:
    using account_key = std::pair<common::organisation_id, common::task_name>;

    auto choose_among(
        const inventory::state& current,
        const version_query& query,
        const std::vector<const inventory::version*>& candidates,
        double chance) -> common::result<version_decision>;
    auto options_for(
        const inventory::state& current,
        const version_query& query,
        const std::vector<const inventory::version*>& candidates) -> std::vector<policy::option>;
    auto quality_price_of(const account_key& key) -> double;
    auto update_quality_account(
        const account_key& key,
        const policy::choice& made,
        const std::vector<policy::option>& options,
        double target) -> void;
    auto apply_rollout_share(
        const inventory::state& current,
        const version_query& query,
        const std::vector<const inventory::version*>& eligible,
        version_decision decision) const -> version_decision;

    version_policy_settings settings;
    policy::quality_tracker quality;
    control::unrated_answers awaiting;
    control::evidence_recorder own_evidence;
    control::evidence_aggregator aggregator;
    control::rollout_controller rollouts;
    std::mutex lock;
    std::map<account_key, policy::quality_price_controller> accounts;
};

} // namespace reedramp::entry
