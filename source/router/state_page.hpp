#pragma once

#include <string>

#include "peer_group.hpp"
#include "router/router_core.hpp"

namespace reedramp::router_program {

/// What this entry believes, as JSON for operators: rules in force, servers with their load, pace
/// and health, roll-outs, peers.
auto state_page(
    const router::router_core& core,
    const peer_group& peers,
    const router::list_broadcaster& courier,
    const common::host_id& host) -> std::string;

} // namespace reedramp::router_program
