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

/// The entry: the callers' API, the filter chain that each request passes through, and the recovery
/// of requests whose backend server is lost. It performs no I/O itself: HTTP, RPC, time and
/// randomness are supplied through hooks.
namespace reedramp::entry {

/// HTTP header names of the callers' API.
namespace header_names {
inline constexpr std::string_view authorization = "Authorization";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view session = "Reedramp-Session";
inline constexpr std::string_view task = "Reedramp-Task";
inline constexpr std::string_view deadline = "Reedramp-Deadline-Ms";
inline constexpr std::string_view request_id = "Reedramp-Request-Id";
inline constexpr std::string_view version = "Reedramp-Version";
} // namespace header_names

/// Model name with which a caller leaves the choice of the model to the routing rules.
inline constexpr std::string_view any_model = "auto";

/// Kind of resource that a request addresses.
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
    /// Set for `service`: the service name, and the remaining path including the query, "/" if
    /// empty.
    common::service_name service;
    std::string path;
};

/// Matches a request line to a route. Errors: `unknown_path`, `method_not_allowed`.
auto parse_route(std::string_view method, std::string_view target) -> common::result<route>;

/// Validated headers of a request.
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

/// Parses and validates the headers. Errors: `bad_header`, also for a repeated header, because two
/// programs could each honour a different occurrence; `unauthenticated` for credentials that are
/// not a bearer token.
auto parse_headers(const std::vector<http::header>& headers, const header_rules& rules)
    -> common::result<caller_headers>;

/// The fields of a chat request that routing needs. The body is forwarded to the engine unchanged.
struct chat_request {
    std::string model;
    bool stream = false;
    /// stream_options.include_usage
    bool include_usage = false;
    common::token_count max_tokens;
    /// Estimate from the length of the messages, used for limits and queues.
    common::token_count prompt_tokens;
    /// Hash of the beginning of the conversation, for servers with a prefix cache.
    std::uint64_t prefix_hash = 0;
    std::int32_t priority = 0;
    /// Text of the last message; the rating service receives it as the question.
    std::string question;
};

/// Parses the body of a chat request. Errors: `malformed_json` if it is not JSON, not UTF-8, nested
/// deeper than 32 levels, or not of the form of a chat request.
auto parse_chat(std::string_view body) -> common::result<chat_request>;

/// Body of POST /v1/sessions.
struct session_request {
    std::string model;
    /// Session name chosen by the caller, if any.
    std::optional<std::string> name;
};

auto parse_session_request(std::string_view body) -> common::result<session_request>;

/// Builds a problem+json response (RFC 9457) with the result code, its name, the execution state
/// and the request id. `Retry-After` is set if the error has a retry time, in whole seconds and at
/// least 1.
auto problem_response(
    const common::error& why, const common::request_id& request, common::time_point now)
    -> http::response;

/// The same problem object as text, for the error event of a stream.
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

/// Formats the server-sent events of one streamed chat response.
class sse_writer {
public:
    sse_writer() = default;
    sse_writer(
        const common::request_id& request,
        const common::version_id& version,
        common::wall_time_ms created);

    /// An event with a chunk of text.
    [[nodiscard]] auto chunk(std::string_view text) const -> std::string;

    /// The final events: the finish reason, usage if given, and "[DONE]".
    [[nodiscard]] auto
    final_events(std::string_view finish_reason, const std::optional<messages::usage>& used) const
        -> std::string;

    /// An error event. No "[DONE]" follows it, so that a truncated response never looks complete.
    [[nodiscard]] static auto
    error_event(const common::error& why, const common::request_id& request) -> std::string;

private:
    /// Common start of all events, up to the contents of "choices".
    std::string prefix;
};

} // namespace reedramp::entry
