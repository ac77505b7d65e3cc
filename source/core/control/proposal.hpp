#pragma once

#include <optional>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "control/rollout.hpp"
#include "inventory/record.hpp"
#include "inventory/state.hpp"

namespace reedramp::control {

/// The configuration record that carries out a controller's action, for `inventory::publisher`.
/// Empty if the roll-out is gone or has moved on since the controller looked.
///
/// The id is made of roll-out, step and kind, not drawn: several processes that propose the same
/// thing write the same record id, and all but the first are no-ops.
auto to_record(
    const rollout_action& action, const inventory::state& current, common::wall_time_ms at)
    -> std::optional<inventory::record>;

} // namespace reedramp::control
