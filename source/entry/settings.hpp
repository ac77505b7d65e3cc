#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "entry/core.hpp"
#include "entry/placer.hpp"
#include "http/message.hpp"
#include "http/server.hpp"
#include "session/pin.hpp"
#include "settings/schema.hpp"

namespace reedramp::entry_program {

/// The settings of an entry, converted to the types of its components.
struct entry_settings {
    membership::location self;
    std::size_t threads = 2;
    std::size_t rpc_threads = 1;
    std::size_t tailers = 2;
    http::server_options http;
    http::endpoint rpc;
    std::string shared_key;
    http::endpoint log;
    http::endpoint hosts;
    http::endpoint ratings;
    std::chrono::milliseconds log_timeout{};
    std::vector<std::string> operator_key_hashes;
    session::key_ring session_keys;
    std::chrono::milliseconds publish_timeout{};
    std::chrono::milliseconds shutdown_announce_time{};
    std::chrono::milliseconds shutdown_timeout{};
    std::chrono::milliseconds bills_timeout{};
    std::size_t pending_bills_limit_bytes = 0;
    entry::core_options core;
    entry::placer_settings placer;
};

auto settings_schema() -> settings::schema;

/// Converts the settings and reads the key files. Errors: `invalid_settings`.
auto read_settings(const settings::values& from) -> common::result<entry_settings>;

} // namespace reedramp::entry_program
