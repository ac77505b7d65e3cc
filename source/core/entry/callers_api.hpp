#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "http/message.hpp"
#include "messages/run.hpp"

/// The entry: callers' API, the chain of filters that each request passes, and the recovery of a
/// request whose backend server is lost. Pure: HTTP, RPC, time and chance come through hooks.
namespace reedramp::entry {

/// Header names of the callers' API.
namespace header_names {
inline constexpr std::string_view authorization = "Authorization";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view session = "Reedramp-Session";
inline constexpr std::string_view task = "Reedramp-Task";
inline constexpr std::string_view deadline = "Reedramp-Deadline-Ms";
inline constexpr std::string_view request_id = "Reedramp-Request-Id";
inline constexpr std::string_view version = "Reedramp-Version";
} // namespace header_names

/// The model name by which a caller leaves the choice of the model to the rules.
inline constexpr std::string_view any_model = "auto";

/// What one request asks for.
enum class route_kind : std::uint8_t {
    chat,
    service,
    list_models,
    open_session,
    live,
    ready,
    metrics,
    admin,
};

struct route {
    route_kind kind = route_kind::chat;
    /// Set for `service`: its name, and the path with query behind it ("/" if there is none).
    common::service_name service;
    std::string path;
};

/// Errors: `unknown_path`, `method_not_allowed`.
auto parse_route(std::string_view method, std::string_view target) -> common::result<route>;

/// The Reedramp headers of a request, checked.
struct caller_headers {
    /// Bearer token; empty if there is none.
    std::string bearer;
    std::optional<std::string> idempotency_key;
    std::optional<std::string> session_token;
    common::task_name task;
    common::duration timeout{};
};

struct header_rules {
    common::duration default_timeout = std::chrono::seconds(30);
    common::duration max_timeout = std::chrono::minutes(10);
};

/// Errors: `bad_header`. A header that stands twice is an error, since two programs might each
/// believe another one of the two.
auto parse_headers(const std::vector<http::header>& headers, const header_rules& rules)
    -> common::result<caller_headers>;

/// A chat request as far as routing needs it. The body goes to the engine as it came.
struct chat_request {
    std::string model;
    bool stream = false;
    /// stream_options.include_usage
    bool include_usage = false;
    common::token_count max_tokens;
    /// A guess from the length of the messages, for limits and queues.
    common::token_count prompt_tokens;
    /// Hash of the start of the conversation, for servers that cache prefixes.
    std::uint64_t prefix_hash = 0;
    std::int32_t priority = 0;
    /// Text of the last message, which the rating service gets as the question.
    std::string question;
};

/// Errors: `malformed_json` for what is not JSON, not UTF-8, deeper than 32 levels or of another
/// shape than a chat request.
auto parse_chat(std::string_view body) -> common::result<chat_request>;

/// Body of POST /v1/sessions.
struct session_request {
    std::string model;
    /// A name that the caller chose, if any.
    std::optional<std::string> name;
};

auto parse_session_request(std::string_view body) -> common::result<session_request>;

/// A problem+json answer (RFC 9457) with our code, name, execution and the request id.
/// `Retry-After` is whole seconds, at least 1, when the error knows a time.
auto problem_response(
    const common::error& why, const common::request_id& request, common::time_point now)
    -> http::response;

/// The same object as text, for the error event of a stream.
auto problem_text(const common::error& why, const common::request_id& request) -> std::string;

struct listed_model {
    std::string id;
    /// "model" or "version"
    std::string kind;
};

auto models_response(const std::vector<listed_model>& models) -> http::response;

auto session_response(
    std::string_view token,
    const common::session_id& session,
    const common::version_id& version,
    common::wall_time_ms expires) -> http::response;

auto json_response(std::uint16_t status, std::string body) -> http::response;
auto text_response(std::uint16_t status, std::string body) -> http::response;

/// Writes the events of one streamed chat answer.
class sse_writer {
public:
    sse_writer() = default;
    sse_writer(
        const common::request_id& request,
        const common::version_id& version,
        common::wall_time_ms created);

    /// One event with a piece of text.
    [[nodiscard]] auto chunk(std::string_view text) const -> std::string;

    /// The last events: finish reason, usage if wanted, "[DONE]".
    [[nodiscard]] auto
    final_events(std::string_view finish_reason, const std::optional<messages::usage>& used) const
        -> std::string;

    /// An explicit error event. No "[DONE]" follows, so that the answer never seems whole.
    [[nodiscard]] static auto
    error_event(const common::error& why, const common::request_id& request) -> std::string;

private:
    /// Start of each event up to the choices.
    std::string prefix;
};

} // namespace reedramp::entry
