#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "platform/hooks.hpp"
#include "settings/schema.hpp"

namespace reedramp::standin {

// In the settings of all parts, port 0 lets the system choose a free port.

struct log_settings {
    std::uint16_t port = 0;
    /// Initial value of the fault of the same name.
    std::uint32_t appends_per_second = 0;
    /// Initial value of the fault of the same name.
    std::uint32_t kept_records = 0;
};

struct hosts_settings {
    std::uint16_t port = 0;
    /// Delay until a change becomes visible.
    std::uint32_t lag_ms = 0;
    std::vector<platform::host_entry> initial;
};

struct ratings_settings {
    std::uint16_t port = 0;
    /// Time from the submission of an answer to its rating.
    std::uint32_t delay_ms = 200;
    /// Share of submitted answers that never get a rating.
    std::uint32_t missing_permille = 0;
    /// Amplitude of the uniform random noise that is added to each score.
    double noise = 0.0;
    /// Score of an answer that is malformed, out of order or from an engine with the `bad` fault.
    double bad_score = 0.05;
    /// Scores by version and task; task "*" applies to tasks without an entry.
    std::map<std::string, std::map<std::string, double>> quality;
};

struct weights_settings {
    std::uint16_t port = 0;
    std::uint64_t bytes_per_second = 1'000'000'000;
    /// A fetch that would queue for longer than this is rejected with 429.
    std::uint32_t longest_queue_ms = 10'000;
};

struct engine_settings {
    std::string name;
    std::uint16_t port = 0;
    std::vector<std::string> versions;
    /// Maximum number of requests that run concurrently.
    std::uint32_t slots = 8;
    /// Maximum number of queued requests; more are rejected with 503.
    std::uint32_t queue_limit = 1024;
    std::uint32_t prefill_us_per_token = 0;
    std::uint32_t decode_us_per_token = 0;
    /// Time that loading a version takes.
    std::uint32_t load_ms = 0;
    /// Maximum age of the report that `GET /load` returns.
    std::uint32_t load_lag_ms = 0;
    /// Capacity of the prefix cache, in message prefixes.
    std::uint32_t cache_entries = 256;
    /// Whether orders with a stale fencing number are rejected with 409.
    bool checks_fencing = true;
    /// Whether the request field `resume_after_tokens` is honoured.
    bool honours_resume = true;
};

struct service_settings {
    std::string name;
    std::uint16_t port = 0;
    std::uint32_t delay_us = 0;
};

/// Settings of one stand-in process: the parts that it runs, and the threads, at least one, over
/// which the parts are distributed.
struct stand_in_settings {
    std::string address = "127.0.0.1";
    std::uint32_t threads = 2;
    std::uint64_t seed = 1;
    std::optional<log_settings> log;
    std::optional<hosts_settings> hosts;
    std::optional<ratings_settings> ratings;
    std::optional<weights_settings> weights;
    std::vector<engine_settings> engines;
    std::vector<service_settings> services;
};

/// Parses the settings. On failure returns all problems: unknown keys, wrong types and values out
/// of range.
auto parse_settings(std::string_view json_text)
    -> tl::expected<stand_in_settings, std::vector<settings::problem>>;

} // namespace reedramp::standin
