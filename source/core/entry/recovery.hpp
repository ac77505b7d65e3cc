#pragma once

#include <cstdint>

#include "common/result.hpp"
#include "common/units.hpp"
#include "messages/run.hpp"

namespace reedramp::entry {

/// What is known about an attempt that ended without a complete response.
enum class attempt_failure : std::uint8_t {
    /// No byte was written to the socket.
    never_sent,
    /// The agent has recorded that it will never run this key.
    refused,
    /// It ran, partly or completely, and no longer runs.
    failed,
    /// Unknown: it may be running, have run, or never run.
    unknown,
};

enum class recovery_action : std::uint8_t {
    /// Make another attempt, on another server if there is one.
    retry,
    /// Query the agent for the outcome of the attempt.
    query_outcome,
    /// Send the error to the caller now.
    give_up,
};

struct recovery_input {
    attempt_failure failure = attempt_failure::unknown;
    /// Result code with which the attempt ended.
    common::result_code code = common::result_code::internal_error;
    messages::repeat_rule repeat = messages::repeat_rule::at_most_once;
    /// The caller has received tokens of a stream that no other server can continue.
    bool is_stream_lost = false;
    std::uint32_t attempts = 1;
    std::uint32_t attempt_limit = 1;
    common::time_point now;
    common::time_point deadline;
    /// For `unknown`: the time until which the outcome is queried.
    common::time_point query_until;
};

/// Decides what to do after an attempt without a complete response. The caller of this function
/// checks the retry budget, and only if the result is `retry`.
///
/// A second attempt is made only if the first one can no longer run or if the request may run
/// twice. Otherwise two servers could both run a request that must run at most once.
auto choose_recovery(const recovery_input& facts) -> recovery_action;

/// Whether every server would refuse the request for the same reason.
auto is_permanent_refusal(common::result_code code) -> bool;

/// Execution state of two attempts together: `unknown` if either is, else `ran` if either did.
auto combine_execution(common::execution left, common::execution right) -> common::execution;

} // namespace reedramp::entry
