#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "http/message.hpp"
#include "router/router_core.hpp"
#include "router/rules_follower.hpp"
#include "settings/schema.hpp"

namespace reedramp::router_program {

/// Settings of an entry without agents, in the types that its parts use.
struct router_settings {
    common::host_id host;
    common::data_centre_id data_centre;
    http::endpoint callers;
    http::endpoint ready;
    http::endpoint peers;
    std::vector<http::endpoint> first_peers;
    http::endpoint store;
    std::chrono::milliseconds grace{};
    std::chrono::milliseconds balancer_time{};
    std::chrono::milliseconds peer_period{};
    /// Words with which the platform describes the deployment.
    std::vector<std::string> features;
    /// 0 if unlimited.
    double memory_mb = 0.0;
    /// Most bytes of requests at a time; 0 if unlimited.
    std::size_t request_memory_bytes = 0;
    router::follower_options follower;
    router::router_options router;
};

auto settings_schema() -> settings::schema;

/// Error `invalid_settings` for combinations that the schema can't check.
auto read_settings(const settings::values& values) -> common::result<router_settings>;

} // namespace reedramp::router_program
