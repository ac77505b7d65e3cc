#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "messages/run.hpp"

namespace reedramp::agent {

/// Path of the engine's chat interface.
inline constexpr auto chat_path = "/v1/chat/completions";

/// Builds the engine's body from the caller's: sets model, stream and priority. When tokens were
/// sent before it asks for the rest, by `resume_after_tokens` and by a last message of the
/// assistant with the sent text. Errors: `malformed_json`.
auto build_engine_body(const messages::run_request& request) -> common::result<std::string>;

/// What a caller may read of a whole answer.
struct engine_answer {
    messages::usage used;
    std::string finish_reason;
    std::string text;
};

/// Reads a whole (not streamed) answer. Errors: `server_failed`.
auto parse_engine_answer(std::string_view body) -> common::result<engine_answer>;

/// Builds a whole answer from a streamed one, for a retry that gets the kept answer.
auto build_engine_answer(const engine_answer& answer, std::string_view model) -> std::string;

/// What one piece of the stream brought.
struct stream_content {
    std::string text;
    std::uint32_t tokens = 0;
};

/// Reads an engine's server-sent events, however they are cut into chunks.
///
/// A line longer than `line_limit`, JSON of another shape or an error object break the stream; then
/// `feed` gives `server_failed` and goes on giving it.
class stream_reader {
public:
    static constexpr std::size_t line_limit = std::size_t{1024} * 1024;

    /// All tokens of this chunk as one step, so that they travel in one message.
    auto feed(std::string_view chunk) -> common::result<stream_content>;

    /// The end marker has come. Without it, an ended connection means a cut answer.
    [[nodiscard]] auto is_complete() const -> bool { return this->is_ended; }

    /// Usage of the last chunk, else what was counted.
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
