#include "common/result.hpp"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace reedramp::common {

namespace {

using enum result_code;
constexpr auto not_run = execution::not_run;
constexpr auto ran = execution::ran;
constexpr auto unknown = execution::unknown;

constexpr auto rows = std::to_array<result_row>({
    {ok, "ok", 200, ran, "The request was answered."},
    {malformed_request, "malformed_request", 400, not_run, "The HTTP request cannot be read."},
    {body_too_large, "body_too_large", 413, not_run, "The body is larger than the settings allow."},
    {malformed_json, "malformed_json", 400, not_run, "The body is not JSON of the expected shape."},
    {unauthenticated, "unauthenticated", 401, not_run, "The bearer token is missing or unknown."},
    {unknown_path, "unknown_path", 404, not_run, "No resource has this path."},
    {method_not_allowed,
     "method_not_allowed",
     405,
     not_run,
     "The resource does not take this method."},
    {unknown_model, "unknown_model", 404, not_run, "No model, version or service has this name."},
    {bad_session_token,
     "bad_session_token",
     400,
     not_run,
     "The session token is forged, expired or of another organisation."},
    {bad_header, "bad_header", 400, not_run, "A Reedramp header has a value that cannot be used."},
    {key_reused, "key_reused", 422, not_run, "The idempotency key was used for another request."},
    {header_too_large,
     "header_too_large",
     431,
     not_run,
     "The request's header is larger than the settings allow."},
    {request_timeout, "request_timeout", 408, not_run, "The request did not arrive in time."},
    {organisation_not_allowed,
     "organisation_not_allowed",
     403,
     not_run,
     "The organisation's rules do not allow this."},
    {version_withdrawn,
     "version_withdrawn",
     409,
     not_run,
     "The version is withdrawn and takes no new work."},
    {limit_requests,
     "limit_requests",
     429,
     not_run,
     "The organisation's requests a minute are used up."},
    {limit_tokens, "limit_tokens", 429, not_run, "The organisation's tokens a minute are used up."},
    {limit_money, "limit_money", 429, not_run, "The organisation's money a minute is used up."},
    {session_ended,
     "session_ended",
     409,
     not_run,
     "The session's version is withdrawn; open a new session."},
    {no_capacity, "no_capacity", 503, not_run, "No backend server can take the request."},
    {deadline_too_near,
     "deadline_too_near",
     503,
     not_run,
     "The request could not finish before its deadline."},
    {deadline_passed,
     "deadline_passed",
     504,
     unknown,
     "The deadline passed before the answer was there."},
    {server_leaving, "server_leaving", 503, not_run, "The backend server is leaving."},
    {shutting_down, "shutting_down", 503, not_run, "The process is shutting down."},
    {queue_full, "queue_full", 503, not_run, "The backend server's queue is full."},
    {retry_budget_spent,
     "retry_budget_spent",
     503,
     not_run,
     "Too many recent requests were tried again."},
    {not_ready, "not_ready", 503, not_run, "The process has no configuration yet."},
    {stale_configuration,
     "stale_configuration",
     503,
     not_run,
     "The configuration is too old for this version."},
    {already_refused,
     "already_refused",
     503,
     not_run,
     "The request was refused before; this is a late copy."},
    {wrong_incarnation,
     "wrong_incarnation",
     503,
     not_run,
     "The request was meant for a predecessor of this agent."},
    {ends_servers,
     "ends_servers",
     503,
     not_run,
     "Backend servers ended each time that they ran this request, or others with the same parts of "
     "their prompts."},
    {memory_full,
     "memory_full",
     503,
     not_run,
     "The process holds too much data of requests, or for callers and servers that read slowly."},
    {outcome_unknown,
     "outcome_unknown",
     502,
     unknown,
     "The request may have run; it is not run again."},
    {server_failed, "server_failed", 502, ran, "The backend server ran the request and failed."},
    {server_lost,
     "server_lost",
     502,
     unknown,
     "The backend server was lost while the request ran."},
    {stream_broken, "stream_broken", 502, ran, "The answer broke off and could not be continued."},
    {cancelled, "cancelled", 499, unknown, "The caller left before the answer was there."},
    {still_running,
     "still_running",
     409,
     unknown,
     "An earlier copy of the request is still running."},
    {duplicate_request, "duplicate_request", 409, unknown, "The request was already taken."},
    {conflict, "conflict", 409, not_run, "Another change was accepted first."},
    {invalid_record, "invalid_record", 422, not_run, "The record breaks a rule of the inventory."},
    {invalid_settings, "invalid_settings", 400, not_run, "The settings have problems."},
    {operator_not_allowed,
     "operator_not_allowed",
     403,
     not_run,
     "The operator's credentials do not allow this."},
    {not_found, "not_found", 404, not_run, "There is no such item."},
    {lease_lost, "lease_lost", 409, not_run, "The lease has lapsed or a newer one exists."},
    {fencing_refused, "fencing_refused", 409, not_run, "The engine knows a newer fencing number."},
    {log_unavailable, "log_unavailable", 503, not_run, "The platform's log cannot be reached."},
    {log_trimmed, "log_trimmed", 410, not_run, "The log no longer holds the records asked for."},
    {platform_unavailable,
     "platform_unavailable",
     503,
     not_run,
     "A service of the platform cannot be reached."},
    {append_unknown,
     "append_unknown",
     503,
     unknown,
     "The log's answer was lost; the record may be there."},
    {claims_unavailable, "claims_unavailable", 503, not_run, "The key cannot be claimed now."},
    {peer_unavailable,
     "peer_unavailable",
     503,
     not_run,
     "Another process of the system cannot be reached."},
    {bad_checkpoint, "bad_checkpoint", 500, not_run, "A checkpoint does not match its digest."},
    {internal_error, "internal_error", 500, unknown, "A defect of the system."},
    {demo_check_failed, "demo_check_failed", 500, ran, "A check of the load tool does not hold."},
});

} // namespace

auto to_string(execution value) -> std::string_view
{
    switch (value) {
    case execution::not_run:
        return "not_run";
    case execution::ran:
        return "ran";
    case execution::unknown:
        return "unknown";
    }
    return "unknown";
}

auto result_table() -> std::span<const result_row>
{
    return rows;
}

auto result_table_markdown() -> std::string
{
    std::ostringstream out;
    out << "| code | name | HTTP | execution | meaning |\n|---|---|---|---|---|\n";
    for (const auto& row : result_table()) {
        out << "| " << static_cast<unsigned>(row.code) << " | `" << row.name << "` | "
            << row.http_status << " | `" << to_string(row.default_execution) << "` | "
            << row.explanation << " |\n";
    }
    return out.str();
}

auto row_of(result_code code) -> const result_row&
{
    const auto* found = std::ranges::find(rows, code, &result_row::code);
    if (found != rows.end()) {
        return *found;
    }
    return row_of(result_code::internal_error);
}

auto make_error(result_code code, std::string detail) -> error
{
    return {code, row_of(code).default_execution, std::move(detail), std::nullopt};
}

auto failure(result_code code, std::string detail) -> tl::unexpected<error>
{
    return tl::unexpected<error>(make_error(code, std::move(detail)));
}

} // namespace reedramp::common
