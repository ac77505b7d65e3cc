#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "common/units.hpp"

namespace reedramp::common {

/// Whether the request ran on a backend server, as far as the caller is told.
///
/// `not_run` is a promise: nothing was sent, or the agent has recorded a refusal, so that a delayed
/// copy is refused too. Where neither is known, it is `unknown`.
enum class execution { not_run, ran, unknown };

auto to_string(execution value) -> std::string_view;

/// Numbered result codes. Numbers never change their meaning; docs/RESULT_CODES.md is made from
/// `result_table()`. 1xx caller's mistake, 2xx rules and limits, 3xx capacity and time, 4xx
/// outcome of a run, 5xx configuration and operators, 6xx the platform, 9xx ours.
enum class result_code : std::uint16_t {
    ok = 0,
    malformed_request = 100,
    body_too_large = 101,
    malformed_json = 102,
    unauthenticated = 103,
    unknown_path = 104,
    method_not_allowed = 105,
    unknown_model = 106,
    bad_session_token = 107,
    bad_header = 108,
    key_reused = 109,
    header_too_large = 110,
    request_timeout = 111,
    organisation_not_allowed = 200,
    version_withdrawn = 201,
    limit_requests = 202,
    limit_tokens = 203,
    limit_money = 204,
    session_ended = 205,
    no_capacity = 300,
    deadline_too_near = 301,
    deadline_passed = 302,
    server_leaving = 303,
    shutting_down = 304,
    queue_full = 305,
    retry_budget_spent = 306,
    not_ready = 307,
    stale_configuration = 308,
    already_refused = 309,
    wrong_incarnation = 310,
    ends_servers = 311,
    memory_full = 312,
    outcome_unknown = 400,
    server_failed = 401,
    server_lost = 402,
    stream_broken = 403,
    cancelled = 404,
    still_running = 405,
    duplicate_request = 406,
    conflict = 500,
    invalid_record = 501,
    invalid_settings = 502,
    operator_not_allowed = 503,
    not_found = 504,
    lease_lost = 505,
    fencing_refused = 506,
    log_unavailable = 600,
    log_trimmed = 601,
    platform_unavailable = 602,
    append_unknown = 603,
    claims_unavailable = 604,
    peer_unavailable = 605,
    bad_checkpoint = 606,
    internal_error = 900,
    demo_check_failed = 901,
};

/// One row of the table of result codes.
struct result_row {
    result_code code;
    std::string_view name;
    /// HTTP status that a caller gets.
    std::uint16_t http_status;
    /// What a caller may conclude, unless the error itself says otherwise.
    execution default_execution;
    /// One sentence for people.
    std::string_view explanation;
};

auto result_table() -> std::span<const result_row>;

/// The table as Markdown; `reedramp-ctl result-codes` prints it, docs/RESULT_CODES.md holds it.
auto result_table_markdown() -> std::string;

/// The row of `code`; that of `internal_error` for a number outside the table.
auto row_of(result_code code) -> const result_row&;

/// Why something was not done.
struct error {
    result_code code = result_code::internal_error;
    execution run = execution::not_run;
    std::string detail;
    /// When a new try may succeed, if that is known.
    std::optional<time_point> retry_at = std::nullopt;

    auto operator==(const error&) const -> bool = default;
};

/// An error with the table's default for `execution`.
auto make_error(result_code code, std::string detail = {}) -> error;

template <typename Value>
using result = tl::expected<Value, error>;

/// Shorthand for returning `make_error` from a function that returns a `result`.
auto failure(result_code code, std::string detail = {}) -> tl::unexpected<error>;

} // namespace reedramp::common
