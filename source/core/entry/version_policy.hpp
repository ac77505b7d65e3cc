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
#include "control/evidence_board.hpp"
#include "control/evidence_source.hpp"
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
    /// Share of requests, not of sessions, that may explore a cheaper version.
    double explore_share = 0.03;
    /// An answer that took longer than this counts as slow for the guard of a roll-out.
    common::duration slow_after = std::chrono::seconds(10);
    /// Answers that wait for their rating.
    std::size_t awaiting_limit = 50'000;
};

/// Chooses versions by cost at the quality target, and watches roll-outs: the estimates from
/// ratings, the share of a roll-out, and this entry's evidence joined with that of the others.
/// Thread-safe.
class version_policy {
public:
    explicit version_policy(version_policy_settings wanted);

    /// `core_hooks::choose_version`; `chance` is uniform in [0, 1). Errors: those of
    /// `eligible_versions`, and `organisation_not_allowed` when all are above the price ceiling.
    auto choose(const inventory::state& current, const version_query& query, double chance)
        -> common::result<version_decision>;

    /// An attempt has ended.
    auto on_attempt(const inventory::state& current, const attempt_report& report) -> void;

    /// An answer was handed to the rating service.
    auto on_submitted(const common::request_id& request, control::rated_answer answer) -> void;

    auto on_ratings(const inventory::state& current, const std::vector<platform::rating>& ratings)
        -> void;

    /// This entry's evidence, for a message to the others.
    [[nodiscard]] auto evidence() const -> std::vector<messages::version_evidence>;

    /// Takes in an entry's evidence, this one's too.
    auto apply_evidence(const messages::gossip& gossip) -> void;

    /// Looks at the roll-outs; call it each second. `rank` is this entry's place among all.
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
    control::awaiting_ratings awaiting;
    control::evidence_source own_evidence;
    control::evidence_board board;
    control::rollout_controller rollouts;
    std::mutex lock;
    std::map<account_key, policy::quality_price_controller> accounts;
};

} // namespace reedramp::entry
