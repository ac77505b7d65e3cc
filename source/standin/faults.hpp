#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/result.hpp"

namespace reedramp::standin {

/// The faults of one part, as `POST /faults` sets them. A field that is not given keeps its value;
/// zero or false switches a fault off. A part leaves out what makes no sense for it.
struct faults {
    /// Platform services answer 503; engines and plain services close connections.
    bool down = false;
    /// Each answer comes so much later.
    std::uint32_t slow_ms = 0;
    /// Of each so many calls the last takes effect, and its connection is closed without answer.
    std::uint32_t lose_answer_every = 0;
    /// Of each so many appends the last takes no effect, and its connection is closed (log).
    std::uint32_t lose_append_every = 0;
    /// More appends than this within a second are refused with 429 (log).
    std::uint32_t appends_per_second = 0;
    /// Only the newest so many records of a stream are kept (log).
    std::uint32_t kept_records = 0;
    /// A change shows so much later (list of hosts).
    std::uint32_t stale_hosts_ms = 0;
    /// Answers are wrong, and the rating service rates them low (engine).
    bool bad = false;
    /// A stream's connection is closed after so many tokens (engine).
    std::uint32_t cut_after_tokens = 0;
    /// So many of a thousand calls are answered with 500 and have no effect.
    std::uint32_t error_rate_permille = 0;
};

/// Applies the fields in `json` to `current`. Errors: `malformed_json`, also for an unknown field;
/// then nothing has changed.
auto apply_faults(std::string_view json, faults& current) -> common::result<void>;

auto format_faults(const faults& current) -> std::string;

} // namespace reedramp::standin
