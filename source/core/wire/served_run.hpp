#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include <kj/async.h>

#include "messages/channel.hpp"
#include "wire/generated/reedramp.capnp.h"
#include "wire/loop_thread.hpp"

namespace reedramp::wire {

/// How a served run ended, and how many messages of tokens went before.
struct served_end {
    messages::run_event event;
    std::uint64_t messages = 0;
};

/// A run on the server's side: takes events from any thread and sends them to the reader.
///
/// Events gather in `inbox` until the loop looks, and go in one message. When the reader does not
/// keep up, `-> stream` holds the next message back; once a window's worth has gathered behind it,
/// the run is paused, so that its memory is bounded by two windows and what the engine still sends.
class served_run : public std::enable_shared_from_this<served_run> {
public:
    using run_hook = decltype(messages::agent_service::run);

    served_run(
        std::shared_ptr<task_queue> queue, schema::RunSink::Client sink, std::size_t window_bytes);

    /// Starts the run. The promise gives the end when all tokens before it have been sent. Loop's
    /// thread.
    auto start(const run_hook& run, messages::run_request request) -> kj::Promise<served_end>;

    /// The reader is gone: cancels the run, unless it has ended. Loop's thread.
    auto abandon() -> void;

    /// Takes an event of the run. What comes after the end is dropped. Any thread.
    auto push(messages::run_event event) -> void;

private:
    struct batch {
        std::vector<messages::tokens_event> pieces;
        std::optional<messages::run_event> end;
    };

    class failure_log final : public kj::TaskSet::ErrorHandler {
    public:
        virtual ~failure_log() = default;

        auto taskFailed(kj::Exception&& /*why*/) -> void override {}
    };

    /// False if the event is not wanted or a flush is already posted.
    auto put(messages::run_event event) -> bool;
    auto append(messages::tokens_event piece) -> void;
    auto take() -> batch;
    auto close_inbox() -> void;

    auto flush() -> void;
    auto send(const std::vector<messages::tokens_event>& pieces) -> void;
    auto finish(messages::run_event end) -> void;
    auto pause_if_behind() -> void;
    auto resume_if_paused() -> void;
    auto reader_failed() -> void;

    std::shared_ptr<task_queue> queue;
    std::size_t window;

    // Any thread, under the lock.
    std::mutex lock;
    std::deque<messages::tokens_event> inbox;
    std::size_t inbox_bytes = 0;
    std::optional<messages::run_event> inbox_end;
    bool flush_posted = false;
    bool inbox_closed = false;

    // Loop's thread only.
    schema::RunSink::Client sink;
    std::shared_ptr<messages::run_handle> handle;
    kj::Own<kj::PromiseFulfiller<served_end>> fulfiller;
    std::uint64_t sent_messages = 0;
    bool sending = false;
    bool paused = false;
    bool ended = false;
    failure_log failures;
    kj::TaskSet tasks;
};

} // namespace reedramp::wire
