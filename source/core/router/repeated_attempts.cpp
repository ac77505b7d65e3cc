#include <string>

#include "common/log.hpp"
#include "router/relay.hpp"
#include "router/router_core.hpp"
#include "router/status_codes.hpp"

/// Part of `router_core` that notices attempts that come again.
namespace reedramp::router {

using common::result_code;
using routing::attempt_fate;

auto router_core::refuse_copy(
    const http::request& request, const caller_request& caller, http::responder& out) -> bool
{
    const auto now = this->hooks.clock();
    const auto before = this->attempts.note_arrival(caller.attempt, now);
    if (!before) {
        return false;
    }
    this->counters.repeated_attempts.add();
    common::log(
        common::log_part::entry,
        common::log_level::warning,
        "attempt came again request=" + caller.attempt + " caller=" + request.peer +
            " after_ms=" + std::to_string(milliseconds_between(before->at, now).count()));
    const auto host = http::find_header(request.headers, "Host").value_or("");
    const auto* on = this->rules_in_force->find(host, request.target);
    const bool may_repeat = on != nullptr && routing::is_repeatable(*on);
    if (may_repeat || before->fate == attempt_fate::not_run) {
        return false;
    }
    const bool was_refused = before->fate == attempt_fate::refused;
    this->refuse(
        common::make_error(
            was_refused ? result_code::already_refused : result_code::outcome_unknown),
        caller.attempt,
        out);
    return true;
}

auto router_core::note_refused(const std::string& attempt, const common::result_row& what) -> void
{
    if (what.default_execution == common::execution::not_run) {
        const bool is_promise = what.http_status == status::unavailable;
        this->attempts.note_fate(
            attempt, is_promise ? attempt_fate::refused : attempt_fate::not_run);
    }
}

} // namespace reedramp::router
