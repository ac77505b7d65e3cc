#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"

/// What the processes of the system say to each other, as plain types. `wire` carries them; the
/// decision libraries know only these.
namespace reedramp::messages {

enum class work_kind : std::uint8_t { chat, service };

enum class repeat_rule : std::uint8_t {
    /// May run again after an unknown outcome.
    idempotent,
    /// Runs at most once, whatever is lost.
    at_most_once,
};

/// Names one try of one request at one life of one agent.
struct run_key {
    common::request_id request;
    common::attempt_number attempt;
    common::incarnation_id incarnation;

    constexpr auto operator<=>(const run_key&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Entry to agent: run this.
struct run_request {
    run_key key;
    work_kind kind = work_kind::chat;
    repeat_rule repeat = repeat_rule::idempotent;
    common::organisation_id organisation;
    common::task_name task;
    /// Empty for a service.
    common::model_id model;
    common::version_id version;
    /// Empty for a chat.
    common::service_name service;
    /// Session of the request, if it has one; the agent's prefix affinity uses it.
    std::optional<common::session_id> session;
    /// Time left until the caller's deadline when sent; each receiver makes a deadline of it at
    /// once, since two hosts' clocks share no zero.
    common::duration time_left{};
    /// Larger is served first.
    std::int32_t priority = 0;
    /// Offset of the configuration by which the entry decided.
    common::log_offset configuration;
    bool stream = false;
    common::token_count max_tokens;
    /// Method and path behind /services/<name>, for a service.
    std::string method;
    std::string path;
    /// JSON body for the engine or the body for the service.
    std::string body;
    std::string content_type;
    /// For a stream that goes on after a lost engine: the text the caller already has.
    std::string sent_text;
    common::token_count sent_tokens;

    auto operator==(const run_request&) const -> bool = default;
};

struct usage {
    common::token_count prompt_tokens;
    common::token_count completion_tokens;

    auto operator<=>(const usage&) const = default;
};

/// Some tokens of a streamed answer, as text.
struct tokens_event {
    /// Index of the first token of this piece within the whole answer, from 0. A piece whose index
    /// is not the next one is a late piece of an earlier attempt, or a gap.
    std::uint64_t first_index = 0;
    std::uint32_t count = 0;
    std::string text;

    auto operator==(const tokens_event&) const -> bool = default;
};

/// The run has ended and its answer is whole.
struct finished_event {
    std::uint16_t http_status = 200;
    std::string content_type;
    /// Whole body; empty if it was streamed.
    std::string body;
    usage used;
    std::string finish_reason;

    auto operator==(const finished_event&) const -> bool = default;
};

/// The agent has recorded that this key never runs; only `not_run` comes with it.
struct refused_event {
    common::error why;
    /// Time after which a new try may succeed, from the moment of sending; zero if unknown.
    common::duration retry_after{};

    auto operator==(const refused_event&) const -> bool = default;
};

/// The run began, or may have begun, and brought no whole answer.
struct failed_event {
    common::error why;
    usage used;

    auto operator==(const failed_event&) const -> bool = default;
};

using run_event = std::variant<tokens_event, finished_event, refused_event, failed_event>;

/// Entry to agent: what became of this key? With `refuse_if_unknown` the agent records a refusal
/// when it has no record, which frees the entry to try elsewhere.
struct outcome_query {
    run_key key;
    bool refuse_if_unknown = true;

    auto operator==(const outcome_query&) const -> bool = default;
};

enum class outcome_state : std::uint8_t { unknown, refused, queued, running, finished, failed };

struct outcome_answer {
    outcome_state state = outcome_state::unknown;
    std::optional<finished_event> finished;
    std::optional<common::error> why;
    usage used;

    auto operator==(const outcome_answer&) const -> bool = default;
};

/// Entry to agent: how busy are you? Also tells what the agent knows of itself.
struct probe_request {
    common::version_id version;
    /// 64-bit hash of the prompt's prefix, or zero.
    std::uint64_t prefix_hash = 0;

    auto operator==(const probe_request&) const -> bool = default;
};

struct probe_answer {
    common::server_id server;
    common::incarnation_id incarnation;
    bool leaving = false;
    bool serves_version = false;
    bool holds_prefix = false;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    /// Estimated wait of a new request of this version.
    common::duration estimated_wait{};
    common::log_offset configuration;

    auto operator==(const probe_answer&) const -> bool = default;
};

} // namespace reedramp::messages
