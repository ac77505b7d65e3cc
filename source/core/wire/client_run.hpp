#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <kj/async.h>

#include "common/hooks.hpp"
#include "messages/channel.hpp"
#include "wire/client_connection.hpp"
#include "wire/generated/reedramp.capnp.h"
#include "wire/loop_thread.hpp"

namespace reedramp::wire {

/// What a call that ended in `why` tells its caller. `sent` is whether the message was handed to
/// the connection: from then on the other process may have acted on it, whatever was lost.
auto call_error(const kj::Exception& why, bool sent) -> common::error;

/// The same for a call that is dropped because the client ends.
auto dropped_error(bool sent) -> common::error;

/// A run on the client's side: hands its events to the sink in order, with exactly one end.
///
/// While it is paused, the answer to the last `-> stream` call is kept back. The server sends no
/// more than its window beyond that, and then pauses the run itself.
class client_run final : public messages::run_handle,
                         public std::enable_shared_from_this<client_run> {
public:
    client_run(std::shared_ptr<task_queue> queue, common::clock_hook now, messages::run_sink sink);
    client_run(const client_run&) = delete;
    auto operator=(const client_run&) -> client_run& = delete;
    ~client_run() noexcept override = default;

    // Any thread.
    auto cancel() -> void override;
    auto pause() -> void override;
    auto resume() -> void override;

    // Loop's thread.

    /// Sends the request once the connection is ready. The run ends when the promise is dropped.
    auto start(std::shared_ptr<client_connection> connection, messages::run_request request)
        -> kj::Promise<void>;

    /// A message of tokens; the promise is given when the reader wants more.
    auto take(std::vector<messages::tokens_event> pieces) -> kj::Promise<void>;

    /// Ends the run with an error, unless it has ended.
    auto fail(common::error why) -> void;

    /// The call is gone: ends the run as lost, unless its end is already here.
    auto drop() -> void;

    /// No more tokens can come: ends the run as lost, if some are missing before its end.
    auto drop_receiver() -> void;

private:
    auto send(client_connection& connection, const messages::run_request& request)
        -> kj::Promise<void>;
    auto take_end(messages::run_event event, std::uint64_t messages_before) -> void;
    auto finish_if_whole() -> void;
    auto finish(messages::run_event event) -> void;
    auto release_reader() -> void;

    std::shared_ptr<task_queue> queue;
    common::clock_hook now;
    std::atomic<bool> cancelled = false;

    // Loop's thread only.
    messages::run_sink sink;
    bool sent = false;
    bool paused = false;
    bool finished = false;
    std::uint64_t received = 0;
    std::uint64_t expected = 0;
    std::optional<messages::run_event> end;
    kj::Own<kj::PromiseFulfiller<void>> held_answer;
    kj::Canceler canceler;
};

} // namespace reedramp::wire
