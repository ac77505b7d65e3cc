#pragma once

#include <string>

#include "common/result.hpp"
#include "messages/run.hpp"

/// Log lines for the agent's decisions on requests.
namespace reedramp::agent {

/// Logs "<what> request=... attempt=... organisation=... target=...<rest>".
auto log_decision(
    const char* what, const messages::run_request& request, const std::string& rest = {}) -> void;

/// Returns " code=<name>", followed by " why=<detail>" if there is a detail.
auto error_fields(const common::error& why) -> std::string;

} // namespace reedramp::agent
