#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "messages/run.hpp"

/// The agent beside a backend server: the last gate before a model engine or a plain service. Pure
/// state machines; the program `reedramp-agent` gives them sockets, threads and timers.
namespace reedramp::agent {

/// One HTTP call to the model engine or the plain service.
struct backend_call {
    messages::work_kind kind = messages::work_kind::chat;
    common::request_id request;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    /// The answer is a stream of server-sent events.
    bool stream = false;
};

struct backend_head {
    std::uint16_t http_status = 200;
    std::string content_type;
};

/// What the backend server answers. May be called from any thread, one at a time, in the order
/// head, chunks, done; never from inside `start` itself.
struct backend_events {
    std::function<auto(backend_head head)->void> head;
    std::function<auto(std::string chunk)->void> chunk;
    /// The end, once. An error's `execution` is `not_run` only when no byte of the call was sent.
    std::function<auto(common::result<void> outcome)->void> done;
};

/// A call under way. After `cancel`, events that still come are ignored.
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
