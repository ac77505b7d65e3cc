#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The answers of the stand-in engine. They are a function of version and prompt, so that a test or
/// the load tool can tell a whole answer to its own request from one that is cut, doubled, out of
/// order or someone else's.
namespace reedramp::standin {

/// What an engine is going to say. Its tokens are " t0@<version>/<prompt hash>", " t1", " t2" and
/// so on; those of an engine that has turned bad start with "x" in place of "t".
struct answer_plan {
    std::string version;
    std::uint32_t prompt_hash = 0;
    std::uint64_t tokens = 0;
    bool bad = false;
};

/// Hash of the texts of all messages that are not the assistant's, each followed by a newline.
auto hash_prompt(std::string_view prompt) -> std::uint32_t;

/// How many tokens the whole answer has: N if the prompt says "tokens=N", else 16 to 63 by its
/// hash.
auto answer_length(std::string_view prompt) -> std::uint64_t;

auto append_token(std::string& to, const answer_plan& plan, std::uint64_t index) -> void;

/// What the text of an answer shows.
struct answer_reading {
    /// Tokens 0, 1, 2, ... are each there once, in order.
    bool in_order = false;
    bool bad = false;
    std::uint64_t tokens = 0;
    std::string version;
    std::uint32_t prompt_hash = 0;
};

/// Reads the text of an answer; nothing if its first token is not one of an engine.
auto read_answer(std::string_view text) -> std::optional<answer_reading>;

} // namespace reedramp::standin
