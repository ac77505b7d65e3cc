#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "answer.hpp"
#include "common/result.hpp"

/// Chat API of the stand-in engine: parses requests and formats responses, without I/O.
namespace reedramp::standin {

/// The first messages of a conversation, as an entry of the prefix cache.
struct prompt_prefix {
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0;
};

struct chat_request {
    std::string version;
    /// The texts of all messages except the assistant's, on which the answer depends.
    std::string prompt;
    bool stream = false;
    std::int64_t priority = 0;
    std::optional<std::uint64_t> max_tokens;
    std::optional<std::uint64_t> resume_after;
    /// Number of words in the last message if it is the assistant's, which the answer then
    /// continues; otherwise 0.
    std::uint64_t continued_tokens = 0;
    /// One prefix per message, ending with that message; the last one covers the whole
    /// conversation.
    std::vector<prompt_prefix> prefixes;
};

/// Parses the body of a chat completion request. Errors: `malformed_json`.
auto parse_chat(std::string_view body) -> common::result<chat_request>;

/// Formats one answer. Token indices count from the start of the complete answer, even if this
/// response resumes it at a later token.
struct chat_writer {
    std::uint64_t id = 0;
    answer_plan plan;
    std::uint64_t prompt_tokens = 0;
    /// Index of the first token in this response.
    std::uint64_t first_token = 0;
    /// Whether `max_tokens` truncates the answer.
    bool cut_by_limit = false;

    /// Returns the response body of a request without streaming.
    [[nodiscard]] auto format_response() const -> std::string;

    /// Appends one server-sent event for each token in [`begin`, `end`).
    auto append_events(std::string& to, std::uint64_t begin, std::uint64_t end) const -> void;

    /// Returns the last events of a stream: finish reason and usage, then "[DONE]".
    [[nodiscard]] auto format_final_events() const -> std::string;
};

/// Formats an error body in the format of chat completion APIs.
auto chat_error(std::string_view code, std::string_view message) -> std::string;

} // namespace reedramp::standin
