#pragma once

#include <cstdint>

#include "common/result.hpp"
#include "common/units.hpp"
#include "messages/run.hpp"

namespace reedramp::entry {

/// What is known of an attempt that brought no whole answer.
enum class attempt_failure : std::uint8_t {
    /// No byte was handed to the socket.
    never_sent,
    /// The agent has recorded that it never runs this key.
    refused,
    /// It ran, in part or to its end, and runs no longer.
    failed,
    /// It may run, have run, or never run.
    unknown,
};

enum class recovery_action : std::uint8_t {
    /// Another attempt, on another server if there is one.
    retry,
    /// Ask the agent what became of the attempt.
    query_outcome,
    /// Tell the caller now.
    give_up,
};

struct recovery_input {
    attempt_failure failure = attempt_failure::unknown;
    /// Why the attempt ended.
    common::result_code code = common::result_code::internal_error;
    messages::repeat_rule repeat = messages::repeat_rule::at_most_once;
    /// The caller has tokens of a stream that no other server can go on with.
    bool is_stream_lost = false;
    std::uint32_t attempts = 1;
    std::uint32_t attempt_limit = 1;
    common::time_point now;
    common::time_point deadline;
    /// For `unknown`: until when it is worth asking.
    common::time_point query_until;
};

/// What to do after an attempt that brought no whole answer. The retry budget is asked by the
/// caller of this function, and only after `retry`.
///
/// A second attempt is only ever made when the first one can't run any more, or when the request
/// may run twice. Else two servers could both run a request that must run at most once.
auto choose_recovery(const recovery_input& facts) -> recovery_action;

/// True for a refusal that every server would repeat.
auto is_permanent_refusal(common::result_code code) -> bool;

/// What a caller is told of several attempts together: `unknown` if one of them is, else `ran` if
/// one of them did.
auto combine_execution(common::execution left, common::execution right) -> common::execution;

} // namespace reedramp::entry
