#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "agent/backend.hpp"
#include "agent/engine_protocol.hpp"
#include "messages/run.hpp"

namespace reedramp::agent {

/// Converts the backend server's response to one run into run events. Not thread-safe.
class answer_reader {
public:
    /// `text_limit`: bytes of a streamed answer's text that are stored for `answer_for_retry`; 0
    /// stores nothing.
    answer_reader(const messages::run_request& request, std::size_t text_limit);

    auto on_head(backend_head head) -> void;

    /// Returns the tokens in this chunk, if any. An error means that the response is malformed; the
    /// call is then to be cancelled.
    auto on_chunk(std::string piece) -> common::result<std::optional<messages::tokens_event>>;

    /// Returns the final event: finished, failed, or, if no byte was sent to the backend server,
    /// refused.
    [[nodiscard]] auto finish(const common::result<void>& outcome) -> messages::run_event;

    /// Returns the finished event with the complete body, also if the answer was streamed. Empty if
    /// the streamed text exceeded the limit.
    [[nodiscard]] auto answer_for_retry(const messages::finished_event& finished) const
        -> std::optional<messages::finished_event>;

    [[nodiscard]] auto used_tokens() const -> messages::usage;

private:
    [[nodiscard]] auto is_streaming() const -> bool;
    [[nodiscard]] auto finish_stream() const -> messages::run_event;
    [[nodiscard]] auto finish_chat() -> messages::run_event;

    messages::work_kind kind;
    bool asked_for_stream;
    std::string version;
    std::size_t text_limit;
    std::uint64_t next_token_index;
    backend_head answer_head;
    std::string body;
    stream_reader reader;
    messages::usage unary_usage;
    /// Text of a streamed answer, up to `text_limit` bytes.
    std::string streamed_text;
    bool is_text_complete = true;
};

} // namespace reedramp::agent
