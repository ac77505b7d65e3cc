#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "http/message.hpp"
#include "settings/schema.hpp"

/// The load test tool: sends open-loop arrivals to entries, checks each answer, and reports.
namespace reedramp::load {

enum class work_kind : std::uint8_t { chat, session, service };

struct organisation_settings {
    std::string id;
    std::string api_key;
    /// Share of the requests, relative to the other organisations.
    std::uint32_t weight = 1;
};

/// One kind of request in the mix.
struct mix_settings {
    /// Name of this kind in the report.
    std::string name;
    work_kind kind = work_kind::chat;
    std::uint32_t weight = 1;
    std::string task = "general";
    std::string model = "auto";
    bool stream = false;
    /// Number of tokens in each answer.
    std::uint32_t tokens = 16;
    std::uint32_t prompt_words = 16;
    /// Number of words in a common prefix of all prompts of this kind, for engines that cache
    /// prefixes.
    std::uint32_t prefix_words = 0;
    /// Number of requests in one session, and the pause between them.
    std::uint32_t turns = 3;
    std::uint32_t think_ms = 0;
    std::string service;
    std::string method = "POST";
    std::string path = "/";
    /// Sends an Idempotency-Key, which is the same for all attempts of a request.
    bool keyed = false;
    /// The service may run each body at most once; verified with `service_runs`.
    bool at_most_once = false;
};

struct check_settings {
    /// Minimum share of answered requests.
    std::uint32_t smallest_answered_permille = 0;
    /// Maximum number of streams that end with an error event or without their end marker.
    std::uint32_t allowed_broken = 0;
    /// Maximum number of requests whose connection was lost in all attempts.
    std::uint32_t allowed_lost = 0;
    /// 0 for no limit.
    std::uint32_t largest_p99_ms = 0;
};

struct load_settings {
    std::vector<http::endpoint> targets;
    std::vector<organisation_settings> organisations;
    std::vector<mix_settings> mix;
    double rate_per_second = 10.0;
    /// The run ends after this number of arrivals, or after `duration_ms`. 0 means no limit; at
    /// least one of the two is required.
    std::uint64_t requests = 0;
    std::uint64_t duration_ms = 0;
    std::uint64_t seed = 1;
    std::uint32_t deadline_ms = 10'000;
    /// Maximum number of attempts of a request. A request is retried after a lost connection, and
    /// after a refusal with Retry-After if `follow_retry_after` is set.
    std::uint32_t tries = 3;
    bool follow_retry_after = false;
    /// Plain services of the stand-in whose run counters are read at the end.
    std::vector<http::endpoint> service_runs;
    /// Address of the platform's log; if given, its bills are compared with the answers.
    std::optional<http::endpoint> log;
    /// Maximum delay of bills after the last answer.
    std::uint32_t bill_wait_ms = 10'000;
    /// File for the JSON report; no file is written if empty.
    std::string report;
    check_settings checks;
};

/// Parses and validates the settings. Errors: all problems with their JSON paths.
auto parse_settings(std::string_view json_text)
    -> tl::expected<load_settings, std::vector<settings::problem>>;

} // namespace reedramp::load
