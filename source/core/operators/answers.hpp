#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "http/message.hpp"
#include "inventory/state.hpp"

namespace reedramp::operators {

/// Exit code of a command line that cannot be used.
inline constexpr int bad_command_line = 2;

/// 0 for `ok`, else the hundreds digit of the code.
auto exit_code_of(common::result_code code) -> int;

/// The body of a good answer. Errors: the one that the problem+json names; `peer_unavailable` if
/// the process did not answer, with the `execution` that the HTTP client knows.
auto body_of(const common::result<http::response>& answer) -> common::result<std::string>;

/// Whether a process takes work, by its answer to `health_request`: "ready", "LEAVING", why it is
/// not ready, or "NO ANSWER".
auto health_word(const common::result<http::response>& answer) -> std::string;

/// True if another entry may know what this one did not: it is gone, or cannot reach the log.
auto may_ask_next(const common::error& why) -> bool;

/// Offset of the record in the answer of a publication.
auto published_offset(std::string_view body) -> common::result<common::log_offset>;

/// What became of a record, by the answer of `history`; nothing if it is not listed.
/// Errors: why the record was refused.
auto find_published(std::string_view history, const common::record_id& id)
    -> std::optional<common::result<common::log_offset>>;

/// Reads the answer of `state`.
auto read_state(std::string_view body) -> common::result<inventory::state>;

/// For people: name, number, explanation, detail, and whether anything ran.
auto error_text(const common::error& why) -> std::string;
auto error_json(const common::error& why) -> std::string;

} // namespace reedramp::operators
