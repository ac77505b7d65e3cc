#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "http/message.hpp"
#include "settings/schema.hpp"

/// The load and experiment tool: open-loop arrivals against entries, checks of each answer, report.
namespace reedramp::load {

enum class work_kind : std::uint8_t { chat, session, service };

struct organisation_settings {
    std::string id;
    std::string api_key;
    /// Share of the requests, against the other organisations.
    std::uint32_t weight = 1;
};

/// One kind of request of the mix.
struct mix_settings {
    /// Names this kind in the report.
    std::string name;
    work_kind kind = work_kind::chat;
    std::uint32_t weight = 1;
    std::string task = "general";
    std::string model = "auto";
    bool stream = false;
    /// Tokens of each answer.
    std::uint32_t tokens = 16;
    std::uint32_t prompt_words = 16;
    /// Words that all prompts of this kind start with, for engines that cache prefixes.
    std::uint32_t prefix_words = 0;
    /// Requests of one session, and the pause between them.
    std::uint32_t turns = 3;
    std::uint32_t think_ms = 0;
    std::string service;
    std::string method = "POST";
    std::string path = "/";
    /// Sends an Idempotency-Key, the same for each try of a request.
    bool keyed = false;
    /// The service may run each body at most once; checked by `service_runs`.
    bool at_most_once = false;
};

struct check_settings {
    /// Of a thousand requests, at least so many have to be answered.
    std::uint32_t smallest_answered_permille = 0;
    /// Streams that ended with an error event or without their end.
    std::uint32_t allowed_broken = 0;
    /// Requests whose connection was lost in all tries.
    std::uint32_t allowed_lost = 0;
    /// 0 for no bound.
    std::uint32_t largest_p99_ms = 0;
};

struct load_settings {
    std::vector<http::endpoint> targets;
    std::vector<organisation_settings> organisations;
    std::vector<mix_settings> mix;
    double rate_per_second = 10.0;
    /// Ends after so many arrivals, or after `duration_ms`; 0 for no such bound, but one is needed.
    std::uint64_t requests = 0;
    std::uint64_t duration_ms = 0;
    std::uint64_t seed = 1;
    std::uint32_t deadline_ms = 10'000;
    /// Tries of one request: another one follows a lost connection, and a refusal that says when to
    /// come back if `follow_retry_after` is set.
    std::uint32_t tries = 3;
    bool follow_retry_after = false;
    /// Plain services of the stand-in whose counters are read at the end.
    std::vector<http::endpoint> service_runs;
    /// The platform's log; if given, the bills are compared with the answers.
    std::optional<http::endpoint> log;
    /// How long bills may come after the last answer.
    std::uint32_t bill_wait_ms = 10'000;
    /// File for the report in JSON; none if empty.
    std::string report;
    check_settings checks;
};

/// On failure gives all problems with their JSON path.
auto parse_settings(std::string_view json_text)
    -> tl::expected<load_settings, std::vector<settings::problem>>;

} // namespace reedramp::load
