#pragma once

#include "common/ids.hpp"
#include "common/units.hpp"
#include "inventory/state.hpp"
#include "messages/run.hpp"

namespace reedramp::entry {

/// Cost of the usage on a version; zero if the configuration doesn't know the version, and for
/// services.
auto cost_of(
    const inventory::state& state, const common::version_id& version, const messages::usage& used)
    -> common::micro_money;

} // namespace reedramp::entry
