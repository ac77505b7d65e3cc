#pragma once

#include <string>

#include "peer_group.hpp"
#include "router/router_core.hpp"

namespace reedramp::router_program {

/// Returns this entry's state as JSON for operators: rules in force, servers with their load, speed
/// and health, roll-outs, and peers.
auto state_page(
    const router::router_core& core,
    const peer_group& peers,
    const router::list_broadcaster& list_updates,
    const common::host_id& host) -> std::string;

} // namespace reedramp::router_program
