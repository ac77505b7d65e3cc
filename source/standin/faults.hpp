#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/result.hpp"

namespace reedramp::standin {

/// Injected faults of one part, set by `POST /faults`. Omitted fields keep their values; zero or
/// false disables a fault. A part ignores faults that do not apply to it.
struct faults {
    /// The part is unavailable: platform services respond with 503, engines and plain services
    /// close connections.
    bool down = false;
    /// Delay added to each response.
    std::uint32_t slow_ms = 0;
    /// Every n-th call loses its response: it takes effect, but the connection is closed.
    std::uint32_t lose_answer_every = 0;
    /// Every n-th append is lost: it has no effect, and the connection is closed (log).
    std::uint32_t lose_append_every = 0;
    /// Appends above this rate are rejected with 429 (log).
    std::uint32_t appends_per_second = 0;
    /// Number of newest records that each stream keeps (log).
    std::uint32_t kept_records = 0;
    /// Delay until a change becomes visible (host list).
    std::uint32_t stale_hosts_ms = 0;
    /// Answers are wrong, and the rating service gives them low scores (engine).
    bool bad = false;
    /// Connections of answers longer than this are closed: of a streamed answer after this number
    /// of tokens, otherwise without a response (engine).
    std::uint32_t cut_after_tokens = 0;
    /// Share of calls that fail with 500 and have no effect.
    std::uint32_t error_rate_permille = 0;
};

/// Applies the fields in `json` to `current`. Errors: `malformed_json`, also for an unknown field;
/// `current` is then unchanged.
auto apply_faults(std::string_view json, faults& current) -> common::result<void>;

/// Formats all faults as a JSON object.
auto format_faults(const faults& current) -> std::string;

} // namespace reedramp::standin
