#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "messages/run.hpp"

namespace reedramp::entry {

enum class token_check : std::uint8_t {
    /// The next piece: pass it on.
    next,
    /// All of it has been passed on before: drop it.
    repeated,
    /// Tokens before it are missing, or it overlaps what was passed on: the stream is broken.
    gap,
};

/// Keeps the tokens of one streamed answer in order over several attempts, and the text that a new
/// attempt needs to go on after them.
class sent_token_tracker {
public:
    explicit sent_token_tracker(std::size_t limit) : text_limit(limit) {}

    /// Checks a piece and, if it is the next one, counts it as sent.
    auto accept(const messages::tokens_event& chunk) -> token_check;

    /// Tokens that the caller has.
    [[nodiscard]] auto sent() const -> std::uint64_t { return this->next_index; }

    [[nodiscard]] auto text() const -> const std::string& { return this->kept; }

    /// False once the text has outgrown its limit; then no other server can go on.
    [[nodiscard]] auto can_continue() const -> bool { return this->whole; }

private:
    std::size_t text_limit;
    std::uint64_t next_index = 0;
    std::string kept;
    bool whole = true;
};

} // namespace reedramp::entry
