#include "entry/recovery.hpp"

#include <algorithm>

namespace reedramp::entry {

auto is_final(common::result_code code) -> bool
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

auto together(common::execution left, common::execution right) -> common::execution
{
    const auto weight = [](common::execution value) {
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
        left, right, [&weight](auto one, auto other) { return weight(one) < weight(other); });
}

auto next_step(const recovery_facts& facts) -> recovery_step
{
    if (facts.now >= facts.deadline) {
        return recovery_step::give_up;
    }
    if (facts.fate == attempt_fate::unknown && facts.now < facts.ask_until) {
        return recovery_step::ask;
    }
    const auto can_run_twice = facts.repeat == messages::repeat_rule::idempotent;
    const auto runs_no_more =
        facts.fate == attempt_fate::never_sent || facts.fate == attempt_fate::refused;
    if (!runs_no_more && !can_run_twice) {
        return recovery_step::give_up;
    }
    if (facts.stuck_stream || is_final(facts.code) || facts.attempts >= facts.attempt_limit) {
        return recovery_step::give_up;
    }
    return recovery_step::try_again;
}

} // namespace reedramp::entry
