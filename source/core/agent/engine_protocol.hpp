#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "messages/run.hpp"

namespace reedramp::agent {

/// Path of the engine's chat completions endpoint.
inline constexpr auto chat_path = "/v1/chat/completions";

/// Builds the engine's request body from the caller's: sets model, stream and priority. If part of
/// the answer was sent before, it requests the continuation, both by `resume_after_tokens` and by a
/// final assistant message with the sent text. Errors: `malformed_json`.
auto build_engine_body(const messages::run_request& request) -> common::result<std::string>;

/// Content of a complete answer.
struct engine_answer {
    messages::usage used;
    std::string finish_reason;
    std::string text;
};

/// Parses a complete (not streamed) answer. Errors: `server_failed`.
auto parse_engine_answer(std::string_view body) -> common::result<engine_answer>;

/// Builds the body of a complete answer, for a retry of a request whose answer was streamed.
auto build_engine_answer(const engine_answer& answer, std::string_view model) -> std::string;

/// Content of one chunk of the stream.
struct stream_content {
    std::string text;
    std::uint32_t tokens = 0;
};

/// Incremental parser of an engine's server-sent events; chunks may split lines anywhere. Not
/// thread-safe.
///
/// A line longer than `line_limit`, JSON of an unexpected type or an error object makes the stream
/// malformed; `feed` then returns `server_failed`, also for all later chunks.
class stream_reader {
public:
    static constexpr std::size_t line_limit = std::size_t{1024} * 1024;

    /// Returns the content of all complete lines. Their tokens are joined, so that they are sent in
    /// one message.
    auto feed(std::string_view chunk) -> common::result<stream_content>;

    /// True if the end marker was read. If the connection ends without it, the answer is truncated.
    [[nodiscard]] auto is_complete() const -> bool { return this->is_ended; }

    /// Usage reported by the engine, or else the number of tokens counted so far.
    [[nodiscard]] auto used_tokens() const -> messages::usage;

    [[nodiscard]] auto finish_reason() const -> const std::string&
    {
        return this->last_finish_reason;
    }

private:
    auto read_line(std::string_view line, stream_content& content) -> bool;
    auto read_chunk(std::string_view json, stream_content& content) -> bool;

    std::string unparsed;
    std::string last_finish_reason;
    std::optional<messages::usage> reported;
    std::uint64_t counted_tokens = 0;
    bool is_ended = false;
    bool is_broken = false;
};

} // namespace reedramp::agent
