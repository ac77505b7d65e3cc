#pragma once

#include <string_view>

#include "common/log.hpp"
#include "settings/schema.hpp"

namespace reedramp::daemon {

/// Sends the project's log lines to glog, which writes them to standard error. Call it once, before
/// threads start.
auto start_logging(const char* program_name, common::log_level lowest) -> void;

/// "debug", "info", "warning" or "error".
auto parse_log_level(std::string_view text) -> common::log_level;

/// The key "log.level", for a program's schema.
auto logging_keys() -> settings::schema;

} // namespace reedramp::daemon
