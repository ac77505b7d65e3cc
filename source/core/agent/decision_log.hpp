#pragma once

#include <string>

#include "common/result.hpp"
#include "messages/run.hpp"

/// The agent's log: one line for each decision on a request.
namespace reedramp::agent {

/// "<what> request=... attempt=... organisation=... target=...<rest>".
auto log_decision(
    const char* what, const messages::run_request& request, const std::string& rest = {}) -> void;

/// " code=<name>", and " why=<detail>" if there is one.
auto error_fields(const common::error& why) -> std::string;

} // namespace reedramp::agent
