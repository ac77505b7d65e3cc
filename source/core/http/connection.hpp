#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include "http/exchange.hpp"
#include "http/request_memory.hpp"
#include "http/server.hpp"

/// One connection of the server.
namespace reedramp::http {

/// A socket without the indirection of a polymorphic executor.
using fast_socket =
    boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

class connection;

/// What all connections of one server share.
struct server_shared {
    server_options options;
    request_handler handler;
    /// Only with TLS.
    std::unique_ptr<boost::asio::ssl::context> tls;
    std::atomic<bool> closing{false};
    /// Answers say "Connection: close", while new connections are still taken.
    std::atomic<bool> announces_close{false};
    std::atomic<std::size_t> busy{0};
    std::atomic<std::size_t> open{0};
    request_memory memory;
};

/// Reads requests and writes answers, one exchange after the other. Lives on one io_context.
///
/// One read is always under way, also while an answer is: its end tells that the caller has left.
/// What is read then belongs to the next, pipelined request and waits in the buffer, up to a bound;
/// beyond it reading stops until the answer has ended.
class connection : public flusher {
public:
    /// Starts reading. Call it on the context's thread.
    virtual auto begin() -> void = 0;

    /// The listener has closed: an idle connection closes soon, a busy one after its answer. On the
    /// context's thread.
    virtual auto close_when_idle() -> void = 0;
};

/// A connection with or without TLS, as `shared` says.
auto make_connection(
    boost::asio::io_context& context, fast_socket socket, std::shared_ptr<server_shared> shared)
    -> std::shared_ptr<connection>;

} // namespace reedramp::http
