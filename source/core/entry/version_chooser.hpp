#pragma once

#include "common/result.hpp"
#include "entry/core_hooks.hpp"
#include "inventory/state.hpp"

namespace reedramp::entry {

/// Versions that a request may run on now: meant by its name, allowed to its organisation, serving,
/// and not refused before. Errors, when there is none: `version_withdrawn`, `stale_configuration`,
/// `organisation_not_allowed`, `unknown_model`.
auto eligible_versions(const inventory::state& current, const version_query& query)
    -> common::result<std::vector<const inventory::version*>>;

/// The cheapest eligible version by what the request is expected to cost.
auto cheapest_version(const inventory::state& current, const version_query& query)
    -> common::result<version_decision>;

} // namespace reedramp::entry
