#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace reedramp::load {

/// Outcome of a request from the caller's view, ordered from a complete answer to none.
enum class answer_state : std::uint8_t {
    answered,
    /// Answered with a status other than 2xx.
    refused,
    /// A malformed body, or a stream that has an error event or lacks its end marker.
    broken,
    /// Complete, but not the answer to this request.
    wrong,
    /// No answer was received in any attempt.
    lost,
};

/// Result of an answer's check.
struct answer_verdict {
    answer_state state = answer_state::wrong;
    /// Name of the result code, or of the fault in the answer.
    std::string reason;
    /// "not_run", "ran" or "unknown", as stated by the refusal or the error event.
    std::string execution;
    /// The version that produced the answer, read from its text.
    std::string version;
    /// The text is marked as produced by a faulty engine.
    bool is_from_faulty_engine = false;
    std::string text;
    std::optional<std::uint64_t> completion_tokens;
};

/// Properties that an answer must have.
struct expected_chat {
    std::string prompt;
    std::uint64_t tokens = 0;
    bool stream = false;
    /// The version of the request's session; empty for a request without a session.
    std::string session_version;
};

/// Checks the answer to a chat: it must be complete, have its tokens in order, come from the
/// version that the header names, and match the prompt.
auto check_chat(const http::response& answer, const expected_chat& expected) -> answer_verdict;

/// Checks the answer of a plain service of the stand-in to a request with `body`.
auto check_service(const http::response& answer, std::string_view body) -> answer_verdict;

/// Verdict for an answer with a status other than 2xx; empty for 2xx.
auto check_refusal(const http::response& answer) -> std::optional<answer_verdict>;

} // namespace reedramp::load
