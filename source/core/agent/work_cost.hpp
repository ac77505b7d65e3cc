#pragma once

#include "agent/backend.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "messages/run.hpp"

namespace reedramp::agent {

/// Expected cost of a request for the backend server, in completion tokens. Prompt tokens count for
/// less, since a prompt is processed much faster than an answer is generated.
auto expected_cost(const messages::run_request& request) -> common::token_count;

/// Actual cost of the request, in the same unit.
auto actual_cost(const messages::run_request& request, const messages::usage& used)
    -> common::token_count;

/// Builds the call that runs the request. Errors: `malformed_json`.
auto make_backend_call(const messages::run_request& request) -> common::result<backend_call>;

} // namespace reedramp::agent
