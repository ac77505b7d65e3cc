#pragma once

#include "router/generated/peers.capnp.h"
#include "routing/rollout_manager.hpp"

/// Codec of roll-outs and their evidence in reports between entries.
namespace reedramp::router {

auto fill(schema::Rollout::Builder to, const routing::rollout_report& from) -> void;

auto read_rollout(schema::Rollout::Reader from) -> routing::rollout_report;

} // namespace reedramp::router
