#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "http/client.hpp"
#include "http/codec.hpp"
#include "http/connection.hpp"
#include "http/lazy_timer.hpp"

/// The client's side of one connection, and one call on it. All on the context's thread.
namespace reedramp::http {

class client_link;

/// Where links go when a call has ended, and calls that need another link.
class link_owner {
public:
    virtual ~link_owner() = default;
    virtual auto keep_idle(const std::shared_ptr<client_link>& link) -> void = 0;
    virtual auto forget_idle(const client_link& link) -> void = 0;
    virtual auto note_unrequested_bytes(const client_link& link) -> void = 0;
};

/// One call, from `send` to `on_done`.
struct pending_call {
    endpoint where;
    request asked;
    call_events events;
    /// The link it runs on; empty before and after.
    std::weak_ptr<client_link> link;
    bool finished = false;
    bool paused = false;
    /// Bytes of the request may have reached the server.
    bool maybe_sent = false;
};

/// Connects, sends one request at a time, reads its answer, and can be used again.
class client_link : public std::enable_shared_from_this<client_link> {
public:
    client_link(
        boost::asio::io_context& context, client_options options, std::weak_ptr<link_owner> owner);

    /// Connects and runs the call.
    auto open(std::shared_ptr<pending_call> call) -> void;

    /// Whether an idle link still looks open. Asks the socket, since its end may have arrived while
    /// the event about it still waits in the loop.
    auto is_usable() -> bool;

    /// Runs a call on an idle link.
    auto reuse(std::shared_ptr<pending_call> call) -> void;

    /// The call was cancelled: its answer is not wanted.
    auto drop() -> void;

    /// The call's `paused` has been cleared.
    auto resume() -> void;

    [[nodiscard]] auto where() const -> const endpoint& { return this->target; }

private:
    enum class stage : std::uint8_t { connecting, busy, idle, closed };

    auto on_connected(error_code problem) -> void;
    auto send() -> void;
    auto on_sent(error_code problem, std::size_t size) -> void;
    auto start_read() -> void;
    /// Waits for input without reading it, so that `is_usable` sees what came since the last
    /// answer.
    auto watch_idle() -> void;
    auto on_idle_input() -> void;
    auto on_read(error_code problem, std::size_t size) -> void;
    auto on_input_end(error_code problem) -> void;
    auto read_answer() -> void;
    /// Extends the silence that the server may keep from now.
    auto restart_silence() -> void;
    auto parse() -> error_code;
    /// Feeds the reader once.
    auto put_input() -> error_code;
    /// Begins anew after an interim answer.
    auto skip_interim() -> void;
    auto deliver_head() -> bool;
    auto deliver_piece() -> bool;
    auto finish() -> void;
    auto fail(common::result_code code, const std::string& detail) -> void;
    /// What an error's detail says of the connection: what "not run" rests on.
    [[nodiscard]] auto describe_connection() const -> std::string;
    auto on_timeout() -> void;
    auto close() -> void;
    /// The server sent bytes beyond its answers.
    auto note_unrequested_bytes() -> void;
    [[nodiscard]] auto call_is_live() const -> bool;

    boost::asio::io_context& context;
    client_options options;
    std::weak_ptr<link_owner> owner;
    fast_socket socket;
    lazy_timer timer;
    endpoint target;
    stage now = stage::connecting;

    std::shared_ptr<pending_call> call;
    std::string output;
    bool writing = false;
    bool write_failed = false;
    /// Bytes of the request that the system has taken.
    std::size_t written = 0;
    bool was_reused = false;
    /// Set when the input ended while the request was still being written; the number of bytes
    /// written then decides what is known about the outcome.
    std::optional<error_code> ended_early;

    boost::beast::flat_buffer input;
    std::size_t read_size;
    bool reading = false;
    bool watching_idle = false;
    std::optional<response_reader> reader;
    bool head_delivered = false;
    /// Interim answers (1xx) to the request in flight.
    unsigned interim_answers = 0;
    /// When the answer has to be whole; set with its first byte.
    std::optional<std::chrono::steady_clock::time_point> answer_due;
};

/// Ends the call: its events never come again, `on_done` comes once with `answer`.
auto finish_call(
    boost::asio::io_context& context, pending_call& call, common::result<response> answer) -> void;

} // namespace reedramp::http
