#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "answer.hpp"
#include "common/result.hpp"

/// The chat interface of the stand-in engine as text: reading requests, writing answers.
namespace reedramp::standin {

/// A message prefix of a conversation, for the prefix cache.
struct prompt_prefix {
    std::uint64_t hash = 0;
    std::uint64_t tokens = 0;
};

struct chat_request {
    std::string version;
    /// What the answer depends on: the texts of all messages that are not the assistant's.
    std::string prompt;
    bool stream = false;
    std::int64_t priority = 0;
    std::optional<std::uint64_t> max_tokens;
    std::optional<std::uint64_t> resume_after;
    /// Words of a last message of the assistant, which the answer continues.
    std::uint64_t continued_tokens = 0;
    /// After each message; the last one is the whole prompt.
    std::vector<prompt_prefix> prefixes;
};

/// Errors: `malformed_json`.
auto parse_chat(std::string_view body) -> common::result<chat_request>;

/// Writes one answer. Token indices count from the start of the whole answer, also when it is
/// resumed later on.
struct chat_writer {
    std::uint64_t id = 0;
    answer_plan plan;
    std::uint64_t prompt_tokens = 0;
    /// Index of the first token of this answer.
    std::uint64_t first = 0;
    /// The answer ended because of `max_tokens`.
    bool cut_by_limit = false;

    /// The whole answer of a request that is not streamed.
    [[nodiscard]] auto whole() const -> std::string;

    /// Appends one server-sent event for each token from `begin` up to `end`.
    auto append_events(std::string& to, std::uint64_t begin, std::uint64_t end) const -> void;

    /// The last events: finish reason, usage, "[DONE]".
    [[nodiscard]] auto ending() const -> std::string;
};

/// An error in the shape that chat engines use.
auto chat_error(std::string_view code, std::string_view message) -> std::string;

} // namespace reedramp::standin
