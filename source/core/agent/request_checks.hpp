#pragma once

#include "common/ids.hpp"
#include "common/result.hpp"
#include "inventory/rules.hpp"
#include "inventory/state.hpp"
#include "messages/run.hpp"

/// Final checks of a request against the agent's own configuration. They catch requests from an
/// entry that has an older configuration or decided wrongly.
namespace reedramp::agent::request_checks {

/// True if the entry used a newer configuration than `current`. The request must wait for it, since
/// the newer configuration may withdraw the version.
auto needs_newer_configuration(
    const messages::run_request& request, const inventory::state& current) -> bool;

/// Checks that this backend server may run the request. Errors, all `not_run`: `not_ready`,
/// `organisation_not_allowed`, `unknown_model`, `version_withdrawn`, `stale_configuration`, and
/// `no_capacity` if this backend server does not serve the version or service.
auto check(
    const messages::run_request& request,
    const inventory::state& current,
    const inventory::rules::freshness& fresh,
    const common::server_id& server) -> common::result<void>;

/// Returns the stricter of the entry's repeat rule and the inventory's rule for the method.
auto repeat_rule_for(const messages::run_request& request, const inventory::state& current)
    -> messages::repeat_rule;

/// True if this backend server accepts new requests for the version. An empty version stands for a
/// plain service.
auto can_serve(
    const inventory::state& current,
    const common::server_id& server,
    const common::version_id& version) -> bool;

} // namespace reedramp::agent::request_checks
