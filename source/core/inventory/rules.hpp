#pragma once

#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "common/units.hpp"
#include "inventory/state.hpp"
#include "messages/run.hpp"

/// Queries on a state. All are pure functions.
namespace reedramp::inventory::rules {

/// Owner of the API key with this SHA-256, in hexadecimal digits; null if unknown.
auto organisation_of_key(const state& current, std::string_view key_hash) -> const organisation*;

auto find_organisation(const state& current, const common::organisation_id& id)
    -> const organisation*;
auto find_version(const state& current, const common::version_id& id) -> const version*;
auto find_service(const state& current, const common::service_name& name) -> const service*;

/// Whether the organisation's rules allow the version, regardless of its stage: its model is
/// allowed, and the organisation lists either this version or no version of the model.
auto allowed(const state& current, const organisation& owner, const version& item) -> bool;
auto allowed(const organisation& owner, const common::service_name& name) -> bool;

/// The rule for a task, or else the organisation's rule for all other tasks; null if it has
/// neither.
auto task_rule_of(const organisation& owner, const common::task_name& task) -> const task_rule*;

/// Effective stage of a version: withdrawn, or else by the newest roll-out to it, or without one
/// the stage that operators set.
auto stage_of(const state& current, const common::version_id& id) -> version_stage;

/// How long the configuration is known to be current.
struct freshness {
    common::time_point current_until;
    common::time_point now;
};

enum class work_origin : std::uint8_t {
    /// A new session, or a request without one.
    new_work,
    /// A request of a session that is already pinned to the version.
    pinned_session,
};

/// Returns the version if it may take work now. Errors: `unknown_model`, `version_withdrawn`, and
/// for new work `stale_configuration`: after `current_until` the version may have been paused or
/// withdrawn without this process knowing.
auto serving(
    const state& current,
    const common::version_id& id,
    const freshness& fresh,
    work_origin origin = work_origin::new_work) -> common::result<const version*>;

/// All versions of a model that are not withdrawn.
auto versions_of(const state& current, const common::model_id& id) -> std::vector<const version*>;

/// The running or paused roll-out of a model; null if there is none.
auto open_rollout_of(const state& current, const common::model_id& id) -> const rollout*;

auto servers_of(const state& current, const common::version_id& id)
    -> std::vector<const backend_server*>;
auto servers_of(const state& current, const common::service_name& name)
    -> std::vector<const backend_server*>;

/// Whether a call of this method may be repeated after an unknown outcome.
auto repeat_rule_of(const service& item, std::string_view method) -> messages::repeat_rule;

} // namespace reedramp::inventory::rules
