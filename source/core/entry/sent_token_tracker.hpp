#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "messages/run.hpp"

namespace reedramp::entry {

enum class token_check : std::uint8_t {
    /// The next chunk: pass it on.
    next,
    /// All of it was passed on before: drop it.
    repeated,
    /// Tokens before it are missing, or it partly overlaps what was passed on: the stream is
    /// broken.
    gap,
};

/// Checks that the tokens of one streamed response are passed on in order and once across several
/// attempts, and keeps the sent text so that a new attempt can continue it.
class sent_token_tracker {
public:
    explicit sent_token_tracker(std::size_t limit) : text_limit(limit) {}

    /// Checks a chunk and, if it is the next one, counts it as sent.
    auto accept(const messages::tokens_event& chunk) -> token_check;

    /// Number of tokens passed on to the caller.
    [[nodiscard]] auto sent() const -> std::uint64_t { return this->next_index; }

    [[nodiscard]] auto text() const -> const std::string& { return this->kept; }

    /// False once the text has exceeded its limit; then no other server can continue the stream.
    [[nodiscard]] auto can_continue() const -> bool { return this->whole; }

private:
    std::size_t text_limit;
    std::uint64_t next_index = 0;
    std::string kept;
    bool whole = true;
};

} // namespace reedramp::entry
