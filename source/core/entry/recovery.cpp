#include "entry/recovery.hpp"

#include <algorithm>

namespace reedramp::entry {

auto is_permanent_refusal(common::result_code code) -> bool
{
    switch (code) {
    case common::result_code::malformed_request:
    case common::result_code::body_too_large:
    case common::result_code::malformed_json:
    case common::result_code::unauthenticated:
    case common::result_code::unknown_model:
    case common::result_code::key_reused:
    case common::result_code::organisation_not_allowed:
    case common::result_code::limit_requests:
    case common::result_code::limit_tokens:
    case common::result_code::limit_money:
    case common::result_code::session_ended:
    case common::result_code::deadline_passed:
    case common::result_code::cancelled:
        return true;
    default:
        return false;
    }
}

auto combine_execution(common::execution left, common::execution right) -> common::execution
{
    const auto severity = [](common::execution value) {
        switch (value) {
        case common::execution::not_run:
            return 0;
        case common::execution::ran:
            return 1;
        case common::execution::unknown:
            return 2;
        }
        return 2;
    };
    return std::max(
        left, right, [&severity](auto one, auto other) { return severity(one) < severity(other); });
}

auto choose_recovery(const recovery_input& facts) -> recovery_action
{
    if (facts.now >= facts.deadline) {
        return recovery_action::give_up;
    }
    if (facts.failure == attempt_failure::unknown && facts.now < facts.query_until) {
        return recovery_action::query_outcome;
    }
    const auto can_run_twice = facts.repeat == messages::repeat_rule::idempotent;
    const auto never_ran =
        facts.failure == attempt_failure::never_sent || facts.failure == attempt_failure::refused;
    if (!never_ran && !can_run_twice) {
        return recovery_action::give_up;
    }
    if (facts.is_stream_lost || is_permanent_refusal(facts.code) ||
        facts.attempts >= facts.attempt_limit) {
        return recovery_action::give_up;
    }
    return recovery_action::retry;
}

} // namespace reedramp::entry
