#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace reedramp::load {

/// What a caller got, in the order of how much it got.
enum class answer_state : std::uint8_t {
    answered,
    /// Refused, or failed, with a numbered result code.
    refused,
    /// A stream with an error event, or one that ended without its end marker.
    broken,
    /// Said to be whole, but it is not the answer to this request.
    wrong,
    /// No answer at all.
    lost,
};

struct answer_verdict {
    answer_state state = answer_state::wrong;
    /// Name of the result code, or what is wrong with the answer.
    std::string why;
    /// "not_run", "ran" or "unknown", as the refusal says.
    std::string execution;
    /// The version that really answered, by the answer's text.
    std::string version;
    /// The answer is in order, but of an engine that has turned bad.
    bool is_bad = false;
    std::string text;
    std::optional<std::uint64_t> completion_tokens;
};

/// What the answer has to be.
struct expected_chat {
    std::string prompt;
    std::uint64_t tokens = 0;
    bool stream = false;
    /// The version of the request's session; empty outside of one.
    std::string session_version;
};

/// Judges the answer to a chat: it has to be whole, in order, of the version that the header names,
/// and to this prompt.
auto check_chat(const http::response& answer, const expected_chat& expected) -> answer_verdict;

/// Judges the answer of a plain service of the stand-in.
auto check_service(const http::response& answer, std::string_view body) -> answer_verdict;

/// Judges a status that is not 2xx; nothing for a 2xx.
auto check_refusal(const http::response& answer) -> std::optional<answer_verdict>;

} // namespace reedramp::load
