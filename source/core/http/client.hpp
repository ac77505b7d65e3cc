#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "common/result.hpp"
#include "http/message.hpp"

namespace boost::asio {
class io_context;
}

namespace reedramp::http {

/// What happens to one call. Runs on the client's io_context thread. After `on_done` nothing more
/// comes.
struct call_events {
    /// Status line and headers are there. May be empty.
    std::function<auto(const response& head)->void> on_head = {};
    /// A piece of the body. May be empty: then the whole body is in the answer of `on_done`.
    std::function<auto(std::string chunk)->void> on_chunk = {};
    /// The end. An error says by its `execution` whether the request may have been sent: `not_run`
    /// only when no byte of it was written.
    std::function<auto(common::result<response> answer)->void> on_done;
    /// The system has taken the whole request, body included. Says nothing of what the server has
    /// read. Does not come if the answer ends before. May be empty.
    std::function<auto()->void> on_sent = {};
    /// The kept connection was closed before any byte of the request was written, which goes out on
    /// a new one. Comes once at most. May be empty.
    std::function<auto()->void> on_reconnect = {};
};

/// A call under way. Destroying the handle does not end the call.
class call {
public:
    virtual ~call() = default;

    /// Closes the connection; `on_done` comes with `cancelled` if it has not come yet.
    virtual auto cancel() -> void = 0;

    /// Stops and resumes reading from the socket, for back-pressure.
    virtual auto pause() -> void = 0;
    virtual auto resume() -> void = 0;
};

struct client_options {
    std::chrono::milliseconds connect_timeout{1000};
    /// The longest silence between two pieces of an answer.
    std::chrono::milliseconds idle_timeout{30000};
    /// Idle connections kept for each endpoint.
    std::size_t idle_connections = 16;
    /// An idle connection is closed after this time, and after half of what the server's Keep-Alive
    /// header names: the request that crosses a server's close has an unknown outcome.
    std::chrono::milliseconds keep_idle_time{10000};
    /// A peer that does not even acknowledge bytes or probes for this long is gone: its host has
    /// lost power or the network, and nothing else would ever tell. 0: not looked for.
    std::chrono::milliseconds dead_peer_time{0};
    /// The longest time from the first byte of an answer to its end when it is not taken piece by
    /// piece: a byte now and then would keep the call for ever.
    std::chrono::milliseconds answer_time{30000};
    /// Bound of an answer's body when it is not taken piece by piece.
    std::size_t body_limit_bytes = 16UL * 1024UL * 1024UL;
};

/// What concerns no call. Runs on the client's io_context thread.
struct client_hooks {
    /// A server sent bytes that no request on their connection asked for. May be empty.
    std::function<auto(const endpoint& from)->void> on_unrequested_bytes = {};
};

/// Keeps connections alive for each endpoint. All members may be called from any thread. Its
/// context is run by one thread, and outlives the client.
///
/// A request is tried again on a new connection only when the kept one turns out to be closed
/// before any byte of the request was written.
class client {
public:
    static auto
    create(boost::asio::io_context& context, client_options options, client_hooks hooks = {})
        -> std::shared_ptr<client>;

    virtual ~client() = default;

    virtual auto send(const endpoint& where, request asked, call_events events)
        -> std::shared_ptr<call> = 0;
};

} // namespace reedramp::http
