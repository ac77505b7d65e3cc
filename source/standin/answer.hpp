#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Deterministic answers of the stand-in engine. They depend only on the version and the prompt, so
/// that a test or the load tool can distinguish a complete answer to its own request from one that
/// is truncated, duplicated, out of order or meant for another request.
namespace reedramp::standin {

/// Contents of an answer. Its tokens are " t0@<version>/<prompt hash>", " t1", " t2" and so on; the
/// tokens of an engine with the `bad` fault start with "x" instead of "t".
struct answer_plan {
    std::string version;
    std::uint32_t prompt_hash = 0;
    std::uint64_t tokens = 0;
    bool bad = false;
};

/// Hashes a prompt: the texts of all messages except the assistant's, each followed by a newline.
auto hash_prompt(std::string_view prompt) -> std::uint32_t;

/// Returns the number of tokens of the complete answer: N if the prompt contains "tokens=N",
/// otherwise 16 to 63, derived from the prompt's hash.
auto answer_length(std::string_view prompt) -> std::uint64_t;

/// Appends token `index` of an answer to `to`.
auto append_token(std::string& to, const answer_plan& plan, std::uint64_t index) -> void;

/// Result of parsing the text of an answer.
struct answer_reading {
    /// Whether tokens 0, 1, 2, ... each occur exactly once and in order.
    bool in_order = false;
    /// Whether any token comes from an engine with the `bad` fault.
    bool bad = false;
    std::uint64_t tokens = 0;
    std::string version;
    std::uint32_t prompt_hash = 0;
};

/// Parses the text of an answer. Returns nullopt if the first token isn't the first token of a
/// stand-in engine.
auto read_answer(std::string_view text) -> std::optional<answer_reading>;

} // namespace reedramp::standin
