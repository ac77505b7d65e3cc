#pragma once

#include <optional>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "control/rollout.hpp"
#include "inventory/record.hpp"
#include "inventory/state.hpp"

namespace reedramp::control {

/// Builds the configuration record that carries out a controller's action, for
/// `inventory::publisher`. Returns nothing if the roll-out no longer exists or has changed since
/// the controller decided.
///
/// The record id is derived from the roll-out, the step and the kind of action rather than drawn at
/// random: processes that propose the same action write the same id, and all records but the first
/// are no-ops.
auto to_record(
    const rollout_action& action, const inventory::state& current, common::wall_time_ms at)
    -> std::optional<inventory::record>;

} // namespace reedramp::control
