#pragma once

#include "common/ids.hpp"
#include "common/result.hpp"
#include "inventory/rules.hpp"
#include "inventory/state.hpp"
#include "messages/run.hpp"

/// The last look at the rules before a backend server gets a request. An entry may decide by an
/// older configuration, or be wrong; what this agent knows counts as well.
namespace reedramp::agent::request_checks {

/// The entry decided by a newer configuration than this one. The agent must not run the request by
/// its older one: a withdrawal may be what it lacks.
auto needs_newer_configuration(
    const messages::run_request& request, const inventory::state& current) -> bool;

/// Whether the rules let this backend server run the request. Errors, all `not_run`: `not_ready`,
/// `organisation_not_allowed`, `unknown_model`, `version_withdrawn`, `stale_configuration`,
/// `no_capacity` for what this backend server does not serve.
auto check(
    const messages::run_request& request,
    const inventory::state& current,
    const inventory::rules::freshness& fresh,
    const common::server_id& server) -> common::result<void>;

/// The stricter of what the entry says and what the inventory says of the service's method.
auto repeat_rule_for(const messages::run_request& request, const inventory::state& current)
    -> messages::repeat_rule;

/// Whether new work of this version may come to this backend server. An empty version asks about a
/// plain service.
auto can_serve(
    const inventory::state& current,
    const common::server_id& server,
    const common::version_id& version) -> bool;

} // namespace reedramp::agent::request_checks
