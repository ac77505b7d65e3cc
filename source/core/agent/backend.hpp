#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "messages/run.hpp"

/// The agent beside a backend server: makes the final checks before a request reaches a model
/// engine or a plain service. State machines without I/O; the program `reedramp-agent` adds
/// sockets, threads and timers.
namespace reedramp::agent {

/// One HTTP call to the model engine or the plain service.
struct backend_call {
    messages::work_kind kind = messages::work_kind::chat;
    common::request_id request;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    /// The response is a stream of server-sent events.
    bool stream = false;
};

struct backend_head {
    std::uint16_t http_status = 200;
    std::string content_type;
};

/// Callbacks for the backend server's response. Called from any thread, one at a time, in the order
/// head, chunks, done; never from within the hook that starts the call.
struct backend_events {
    std::function<auto(backend_head head)->void> head;
    std::function<auto(std::string chunk)->void> chunk;
    /// Called once at the end. An error's `execution` is `not_run` only if no byte of the call was
    /// sent.
    std::function<auto(common::result<void> outcome)->void> done;
};

/// A call in flight. Events that arrive after `cancel` are to be ignored by their receiver.
class backend_handle {
public:
    virtual ~backend_handle() = default;
    virtual auto cancel() -> void = 0;
    virtual auto pause() -> void = 0;
    virtual auto resume() -> void = 0;
};

using start_call_hook =
    std::function<auto(backend_call call, backend_events events)->std::shared_ptr<backend_handle>>;

} // namespace reedramp::agent
