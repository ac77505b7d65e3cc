#pragma once

#include "agent/backend.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "messages/run.hpp"

namespace reedramp::agent {

/// What a request is expected to cost the backend server, in completion tokens. A prompt is read
/// far faster than an answer is written, so that its tokens count for less.
auto expected_cost(const messages::run_request& request) -> common::token_count;

/// What it has cost, in the same measure.
auto actual_cost(const messages::run_request& request, const messages::usage& used)
    -> common::token_count;

/// The call that runs the request. Errors: `malformed_json`.
auto make_backend_call(const messages::run_request& request) -> common::result<backend_call>;

} // namespace reedramp::agent
