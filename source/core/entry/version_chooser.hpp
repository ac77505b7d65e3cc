#pragma once

#include "common/result.hpp"
#include "entry/core_hooks.hpp"
#include "inventory/state.hpp"

namespace reedramp::entry {

/// Versions on which a request may run now: they match its model name, are allowed for its
/// organisation, are serving, and have not been refused for this request. Errors if there is none:
/// `version_withdrawn`, `stale_configuration`, `organisation_not_allowed`, `unknown_model`.
auto eligible_versions(const inventory::state& current, const version_query& query)
    -> common::result<std::vector<const inventory::version*>>;

/// Chooses the eligible version with the lowest expected cost of the request.
auto cheapest_version(const inventory::state& current, const version_query& query)
    -> common::result<version_decision>;

} // namespace reedramp::entry
