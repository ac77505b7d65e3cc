#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "http/codec.hpp"
#include "http/connection.hpp"
#include "http/lazy_timer.hpp"

namespace reedramp::http {

using tls_stream = boost::asio::ssl::stream<fast_socket>;

/// See `connection`. Its parts are defined in stream_connection_input.hpp and
/// stream_connection_output.hpp, which connection.cpp includes. `Stream` is `fast_socket` or
/// `tls_stream`. Members that are not overrides run on the context's thread only.
template <typename Stream>
class stream_connection final : public connection,
                                public std::enable_shared_from_this<stream_connection<Stream>> {
public:
    stream_connection(
        boost::asio::io_context& context_to_use,
        Stream stream_to_use,
        std::shared_ptr<server_shared> shared_to_use)
        : context(context_to_use), stream(std::move(stream_to_use)),
          shared(std::move(shared_to_use)), timer(context_to_use.get_executor())
    {
        this->shared->open.fetch_add(1, std::memory_order_relaxed);
    }

    ~stream_connection() override
    {
        this->note_request_bytes(0);
        this->shared->open.fetch_sub(1, std::memory_order_relaxed);
    }

    stream_connection(const stream_connection&) = delete;
    stream_connection(stream_connection&&) = delete;
    auto operator=(const stream_connection&) -> stream_connection& = delete;
    auto operator=(stream_connection&&) -> stream_connection& = delete;

    auto begin() -> void override;
    auto close_when_idle() -> void override;
    auto flush_now() -> void override;
    auto flush_soon() -> void override;
    auto run_soon(std::function<auto()->void> action) -> void override;

private:
    enum class stage : std::uint8_t {
        handshake,
        reading_request,
        answering,
        /// The last answer is out; what still comes is read and dropped, since closing with unread
        /// bytes would reset the connection and could destroy the answer before it is read.
        lingering,
        closed
    };

    static constexpr bool is_tls = std::is_same_v<Stream, tls_stream>;
    static constexpr std::size_t smallest_read = 4096;
    static constexpr std::size_t largest_read = 64UL * 1024UL;
    static constexpr std::size_t largest_write = 256UL * 1024UL;
    /// Bodies up to this size are copied behind the head: one piece is cheaper to write than three.
    static constexpr std::size_t copied_body_bytes = 16UL * 1024UL;
    static constexpr std::chrono::milliseconds linger_time{1000};
    /// Seconds after which a request that was refused for memory may come back: about an upload.
    static constexpr std::string_view memory_retry_after = "1";
    /// After the listener has closed, an idle connection waits this long for a last request. Closed
    /// at once, it would cross a request that is on its way, and its sender could not tell whether
    /// that ran.
    static constexpr std::chrono::milliseconds closing_grace{500};

    auto socket() -> fast_socket&;
    auto handshake() -> void;

    auto start_read() -> void;
    auto on_read(error_code problem, std::size_t size) -> void;
    /// Moves the bytes of a read to those that wait to be parsed.
    auto append_input(std::size_t size) -> void;
    auto on_input_end(error_code problem) -> void;
    auto read_request() -> void;
    auto parse() -> error_code;
    auto on_need_more() -> void;
    /// Bytes that the request needs, as far as is known.
    [[nodiscard]] auto request_size() const -> std::size_t;
    /// Takes the memory that the request needs; refuses the request and returns false if there is
    /// none.
    auto take_request_memory() -> bool;
    /// Sets what this connection's request holds of the server's memory.
    auto note_request_bytes(std::size_t bytes) -> void;
    auto send_continue() -> void;
    auto begin_exchange() -> void;
    auto refuse(const common::error& why, std::vector<header> more = {}) -> void;
    auto refuse_for_memory() -> void;
    auto on_timeout() -> void;

    auto flush() -> void;
    auto fill_output(outgoing next) -> void;
    auto choose_framing(const outgoing& next) -> framing;
    auto write_output() -> void;
    auto on_written(error_code problem) -> void;
    auto end_exchange() -> void;

    auto linger() -> void;
    auto reset() -> void;
    auto close() -> void;

    boost::asio::io_context& context;
    Stream stream;
    std::shared_ptr<server_shared> shared;
    lazy_timer timer;

    std::string peer;
    stage now = stage::handshake;
    boost::beast::flat_buffer input;
    /// Where the read under way puts its bytes. Not a part of `input`, which is parsed, and so
    /// moved, while a read waits for what follows a pipelined request.
    std::string incoming;
    std::size_t read_size = smallest_read;
    bool reading = false;
    bool input_ended = false;
    std::optional<request_reader> reader;
    bool continue_sent = false;
    std::size_t request_bytes = 0;
    /// The request was refused while its body was still arriving.
    bool refused_in_body = false;

    std::shared_ptr<exchange> current;
    bool is_head_request = false;
    bool keep_alive = true;
    unsigned minor_version = 1;
    framing body_framing = framing::sized;

    bool writing = false;
    std::string output;
    std::string output_body;
    std::string output_end;
    bool output_is_last = false;
};

} // namespace reedramp::http
