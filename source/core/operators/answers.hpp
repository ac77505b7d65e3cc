#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "http/message.hpp"
#include "inventory/state.hpp"

namespace reedramp::operators {

/// Exit code for an invalid command line.
inline constexpr int usage_error_exit_code = 2;

/// 0 for `ok`, else the hundreds digit of the result code.
auto exit_code_of(common::result_code code) -> int;

/// Body of a successful answer. Errors: the one that the problem+json body names;
/// `peer_unavailable` if the process did not answer, with the `execution` that the HTTP client
/// reports.
auto response_body(const common::result<http::response>& answer) -> common::result<std::string>;

/// Readiness of a process, from its answer to `health_request`: "ready", "LEAVING", the reason why
/// it is not ready, or "NO ANSWER".
auto health_text(const common::result<http::response>& answer) -> std::string;

/// True if another entry may still answer: the one asked is unreachable, not ready, shutting down,
/// or cannot use the log.
auto should_try_next_entry(const common::error& error) -> bool;

/// Reads the offset of the record from the answer to a publication.
auto parse_published_offset(std::string_view body) -> common::result<common::log_offset>;

/// Outcome of a record according to the answer to `history`: its offset, or the reason why it was
/// refused. Empty if the record is not listed.
auto find_record_outcome(std::string_view history, const common::record_id& id)
    -> std::optional<common::result<common::log_offset>>;

/// Reads the answer to `state`.
auto parse_state(std::string_view body) -> common::result<inventory::state>;

/// Message for a terminal: name, number, explanation and detail of the error, and whether it is
/// unknown if the operation took effect.
auto error_text(const common::error& error) -> std::string;
auto error_json(const common::error& error) -> std::string;

} // namespace reedramp::operators
