#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "agent/core.hpp"
#include "common/ids.hpp"
#include "common/result.hpp"
#include "http/message.hpp"
#include "settings/schema.hpp"

namespace reedramp::agent_program {

/// An agent's settings, converted from the settings file.
struct agent_settings {
    common::server_id server;
    common::host_id host;
    common::data_centre_id data_centre;
    http::endpoint rpc;
    http::endpoint http;
    std::string shared_key;
    http::endpoint backend;
    http::endpoint log;
    http::endpoint hosts;
    /// If not set, the engine gets no orders.
    std::optional<http::endpoint> weights;
    std::uint64_t weight_bytes = 0;
    std::vector<std::string> operator_key_hashes;
    std::size_t threads = 2;
    std::size_t tailers = 2;
    std::chrono::milliseconds backend_idle_timeout{};
    std::chrono::milliseconds log_timeout{};
    std::chrono::milliseconds registration_limit{};
    std::chrono::milliseconds drain_limit{};
    std::chrono::milliseconds drain_linger{};
    /// Without the incarnation.
    agent::core_options core;
};

auto settings_schema() -> settings::schema;

/// Converts the settings and reads the shared key's file. Errors: `invalid_settings`.
auto read_settings(const settings::values& from) -> common::result<agent_settings>;

} // namespace reedramp::agent_program
