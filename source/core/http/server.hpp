#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/result.hpp"
#include "http/message.hpp"

namespace boost::asio {
class io_context;
}

namespace reedramp::http {

/// The way back to one caller. All members may be called from any thread, in the order of the
/// answer: either `send` once, or `start`, any number of `write`, then `finish` or `abort`.
class responder {
public:
    virtual ~responder() = default;

    /// Sends a whole answer.
    virtual auto send(response answer) -> void = 0;

    /// Starts a chunked answer; `head.body` is not used.
    virtual auto start(response head) -> void = 0;
    virtual auto write(std::string chunk) -> void = 0;
    virtual auto finish() -> void = 0;

    /// Closes the connection without ending the answer, so that the caller sees that it is cut.
    virtual auto abort() -> void = 0;

    /// Bytes handed to `write` that the socket has not taken. The source of a stream stops reading
    /// while this is high; else one slow caller would hold an answer's whole size in memory.
    [[nodiscard]] virtual auto backlog() const -> std::size_t = 0;

    /// Bytes of the answer, head and framing included, that the socket has taken. Grows also within
    /// a large piece, which counts as backlog until all of it is taken. 0 without a socket.
    [[nodiscard]] virtual auto taken() const -> std::uint64_t { return 0; }

    /// Closes the connection unless the socket has taken the whole answer, also after `send` and
    /// `finish`, so that the caller sees that the answer is cut. Without a socket the same as
    /// `abort`.
    virtual auto drop_unsent() -> void { this->abort(); }

    /// `action` runs once when the backlog has fallen below `low_water` bytes (at once if it is).
    virtual auto when_drained(std::size_t low_water, std::function<auto()->void> action)
        -> void = 0;

    /// `action` runs once if the caller leaves before the answer has ended. A caller that closes
    /// only its sending side looks the same, and counts as one that left; what is sent after
    /// `action` is still written if the socket takes it.
    virtual auto on_disconnect(std::function<auto()->void> action) -> void = 0;
};

using request_handler = std::function<auto(request asked, std::shared_ptr<responder> out)->void>;

struct tls_files {
    std::string certificate_chain;
    std::string private_key;
};

struct server_options {
    endpoint listen = {};
    std::size_t header_limit_bytes = 16UL * 1024UL;
    std::size_t body_limit_bytes = 4UL * 1024UL * 1024UL;
    /// A whole request has to arrive within this time, and an idle connection is closed after it.
    std::chrono::milliseconds read_timeout{15000};
    /// A caller that takes nothing of its answer for this long is cut.
    std::chrono::milliseconds write_timeout{30000};
    /// One more connection gets 503 and is closed.
    std::size_t connection_limit = 2000;
    std::optional<tls_files> tls = std::nullopt;
    /// False leaves new connections waiting in the system's queue until `accept`.
    bool accepts_at_once = true;
    /// Most bytes of requests, from their first byte until they are answered, over all connections;
    /// 0 if unlimited. A request beyond it is refused with `memory_full` before the rest of it is
    /// read.
    std::size_t request_memory_bytes = 0;
    /// Called for each request that is refused so.
    std::function<auto()->void> on_memory_full = {};
    /// How long `server::open` waits for a port that is taken.
    std::chrono::milliseconds bind_time{0};
};

/// Serves HTTP/1.1 with keep-alive on the given contexts, one of which each connection stays on.
/// Each context is run by one thread, and outlives the server. A responder that is dropped without
/// an answer is answered with `internal_error`.
/// Pipelined requests are answered one after the other. What HTTP forbids gets a problem+json
/// answer with our result code or a closed connection, and never reaches the handler.
class server {
public:
    /// Binds and listens. Port 0 asks for any free port.
    static auto open(
        std::vector<boost::asio::io_context*> contexts,
        server_options options,
        request_handler handler) -> common::result<std::unique_ptr<server>>;

    virtual ~server() = default;

    /// The port that is really listened on.
    [[nodiscard]] virtual auto port() const -> std::uint16_t = 0;

    /// Starts to take connections, where `accepts_at_once` is false. On the thread of a server with
    /// one context; further calls change nothing.
    virtual auto accept() -> void = 0;

    /// Stops accepting. Answers under way go on; each further answer says "Connection: close"; a
    /// connection that stays idle for half a second closes.
    virtual auto close_listener() -> void = 0;

    /// Other limits from the next request on. On the thread of a server with one context.
    virtual auto change_limits(
        std::size_t header_bytes, std::size_t body_bytes, std::chrono::milliseconds read_timeout)
        -> void = 0;

    /// From now on each answer is the last one of its connection. New connections are still taken:
    /// a balancer sends some until it has noticed that this process leaves.
    virtual auto announce_close() -> void = 0;

    /// Connections with an answer under way.
    [[nodiscard]] virtual auto busy_connections() const -> std::size_t = 0;

    /// Bytes of requests that still arrive or are not answered yet.
    [[nodiscard]] virtual auto request_bytes() const -> std::size_t = 0;

    /// Open connections, busy or idle.
    [[nodiscard]] virtual auto open_connections() const -> std::size_t = 0;
};

} // namespace reedramp::http
