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

struct log_settings {
    std::uint16_t port = 0;
    std::uint32_t appends_per_second = 0;
    std::uint32_t kept_records = 0;
};

struct hosts_settings {
    std::uint16_t port = 0;
    std::uint32_t lag_ms = 0;
    std::vector<platform::host_entry> initial;
};

struct ratings_settings {
    std::uint16_t port = 0;
    std::uint32_t delay_ms = 200;
    std::uint32_t missing_permille = 0;
    /// Scores are moved by up to this much either way.
    double noise = 0.0;
    /// Score of an answer of an engine that has turned bad, or one that is no engine's.
    double bad_score = 0.05;
    /// Score by version and task; task "*" is for all others.
    std::map<std::string, std::map<std::string, double>> quality;
};

struct weights_settings {
    std::uint16_t port = 0;
    std::uint64_t bytes_per_second = 1'000'000'000;
    /// A fetch that would wait longer for its turn is refused with 429.
    std::uint32_t longest_queue_ms = 10'000;
};

struct engine_settings {
    std::string name;
    std::uint16_t port = 0;
    std::vector<std::string> versions;
    /// Requests that run at a time.
    std::uint32_t slots = 8;
    /// Requests that wait; more are refused with 503.
    std::uint32_t queue_limit = 1024;
    std::uint32_t prefill_us_per_token = 0;
    std::uint32_t decode_us_per_token = 0;
    /// Time that an order to load a version takes.
    std::uint32_t load_ms = 0;
    /// How old the report of `GET /load` may be.
    std::uint32_t load_lag_ms = 0;
    /// Message prefixes in the cache.
    std::uint32_t cache_entries = 256;
    bool checks_fencing = true;
    /// Whether `resume_after_tokens` is honoured.
    bool honours_resume = true;
};

struct service_settings {
    std::string name;
    std::uint16_t port = 0;
    std::uint32_t delay_us = 0;
};

/// Which parts one process plays. At least one thread; parts are spread over the threads.
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

/// On failure gives all problems: unknown keys, wrong types, values out of range.
auto parse_settings(std::string_view json_text)
    -> tl::expected<stand_in_settings, std::vector<settings::problem>>;

} // namespace reedramp::standin
