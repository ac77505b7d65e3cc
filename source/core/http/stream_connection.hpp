#pragma once

#include <array>
#include <cstddef>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include "common/log.hpp"
#include "http/codec.hpp"
#include "http/connection.hpp"
#include "http/lazy_timer.hpp"

namespace reedramp::http {

using tls_stream = boost::asio::ssl::stream<fast_socket>;

/// See `connection`. `Stream` is `fast_socket` or `tls_stream`. Members that are not overrides run
/// on the context's thread only.
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

    ~stream_connection() override { this->shared->open.fetch_sub(1, std::memory_order_relaxed); }

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
    /// Bodies up to this size are copied behind the head: one piece is cheaper to write than three.
    static constexpr std::size_t copied_body_bytes = 16UL * 1024UL;
    static constexpr std::chrono::milliseconds linger_time{1000};
    /// After the listener has closed, an idle connection waits this long for a last request. Closed
    /// at once, it would cross a request that is on its way, and its sender could not tell whether
    /// that ran.
    static constexpr std::chrono::milliseconds closing_grace{500};

    auto socket() -> fast_socket&;
    auto handshake() -> void;

    auto start_read() -> void;
    auto on_read(error_code problem, std::size_t size) -> void;
    auto on_input_end(error_code problem) -> void;
    auto read_request() -> void;
    auto parse() -> error_code;
    auto on_need_more() -> void;
    auto send_continue() -> void;
    auto begin_exchange() -> void;
    auto refuse(const common::error& why) -> void;
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
    std::size_t read_size = smallest_read;
    bool reading = false;
    bool input_ended = false;
    std::optional<request_reader> reader;
    bool continue_sent = false;

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

template <typename Stream>
auto stream_connection<Stream>::socket() -> fast_socket&
{
    if constexpr (is_tls) {
        return this->stream.next_layer();
    }
    else {
        return this->stream;
    }
}

template <typename Stream>
auto stream_connection<Stream>::begin() -> void
{
    error_code ignored;
    this->socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const auto remote = this->socket().remote_endpoint(ignored);
    this->peer = to_string(endpoint{remote.address().to_string(), remote.port()});
    this->timer.set_action(this->weak_from_this(), [this] { this->on_timeout(); });
    this->timer.expires_after(this->shared->options.read_timeout);
    if constexpr (is_tls) {
        this->handshake();
    }
    else {
        this->now = stage::reading_request;
        this->start_read();
    }
}

template <typename Stream>
auto stream_connection<Stream>::handshake() -> void
{
    if constexpr (is_tls) {
        this->stream.async_handshake(
            boost::asio::ssl::stream_base::server,
            [this, keep = this->shared_from_this()](error_code problem) {
                if (problem) {
                    this->close();
                    return;
                }
                this->now = stage::reading_request;
                this->start_read();
            });
    }
}

template <typename Stream>
auto stream_connection<Stream>::close_when_idle() -> void
{
    const bool is_idle = this->now == stage::handshake ||
                         (this->now == stage::reading_request && !this->reader.has_value());
    if (is_idle) {
        this->timer.expires_after(closing_grace);
    }
}

template <typename Stream>
auto stream_connection<Stream>::flush_now() -> void
{
    if (this->context.get_executor().running_in_this_thread()) {
        this->flush();
        return;
    }
    this->flush_soon();
}

template <typename Stream>
auto stream_connection<Stream>::flush_soon() -> void
{
    boost::asio::post(this->context, [this, keep = this->shared_from_this()] { this->flush(); });
}

template <typename Stream>
auto stream_connection<Stream>::run_soon(std::function<auto()->void> action) -> void
{
    boost::asio::post(this->context, std::move(action));
}

template <typename Stream>
auto stream_connection<Stream>::start_read() -> void
{
    const bool buffer_is_full = this->now == stage::answering && this->input.size() >= largest_read;
    if (this->reading || this->input_ended || this->now == stage::closed || buffer_is_full) {
        return;
    }
    this->reading = true;
    this->stream.async_read_some(
        this->input.prepare(this->read_size),
        [this, keep = this->shared_from_this()](error_code problem, std::size_t size) {
            this->on_read(problem, size);
        });
}

template <typename Stream>
auto stream_connection<Stream>::on_read(error_code problem, std::size_t size) -> void
{
    this->reading = false;
    if (this->now == stage::closed) {
        return;
    }
    if (problem) {
        this->on_input_end(problem);
        return;
    }
    this->input.commit(size);
    if (size == this->read_size && this->read_size < largest_read) {
        this->read_size *= 2;
    }
    if (this->now == stage::lingering) {
        this->input.consume(this->input.size());
        this->start_read();
        return;
    }
    if (this->now == stage::reading_request) {
        this->read_request();
        return;
    }
    this->start_read();
}

template <typename Stream>
auto stream_connection<Stream>::on_input_end(error_code problem) -> void
{
    this->input_ended = true;
    if (problem != boost::asio::error::eof || this->now == stage::lingering) {
        this->close();
        return;
    }
    if (this->now == stage::answering) {
        // From here on a caller that closed looks like one that closed its sending side only, and
        // still reads. The owner is told, as if it had left; an answer that comes all the same is
        // written.
        this->current->caller_left();
        return;
    }
    if (!this->reader.has_value()) {
        this->close();
        return;
    }
    this->refuse(common::make_error(
        common::result_code::malformed_request, "the input ended inside a request"));
}

template <typename Stream>
auto stream_connection<Stream>::read_request() -> void
{
    if (this->input.size() == 0) {
        if (this->input_ended) {
            this->close();
            return;
        }
        this->start_read();
        return;
    }
    if (!this->reader.has_value()) {
        const auto& options = this->shared->options;
        this->reader.emplace(options.header_limit_bytes, options.body_limit_bytes);
        this->continue_sent = false;
        this->timer.expires_after(options.read_timeout);
    }
    const auto problem = this->parse();
    if (problem == boost::beast::http::error::need_more) {
        this->on_need_more();
        return;
    }
    if (problem) {
        this->refuse(parse_failure(problem));
        return;
    }
    this->begin_exchange();
}

/// Feeds the reader until the request is whole. Gives `need_more` when it is not.
template <typename Stream>
auto stream_connection<Stream>::parse() -> error_code
{
    while (!this->reader->is_done()) {
        error_code problem;
        const auto used = this->reader->put(this->input.data(), problem);
        this->input.consume(used);
        if (problem) {
            return problem;
        }
        if (this->input.size() == 0 && !this->reader->is_done()) {
            return boost::beast::http::error::need_more;
        }
    }
    return {};
}

template <typename Stream>
auto stream_connection<Stream>::on_need_more() -> void
{
    if (this->input_ended) {
        this->refuse(common::make_error(
            common::result_code::malformed_request, "the input ended inside a request"));
        return;
    }
    // The reader leaves only an unfinished line or header in the buffer. A chunk extension or a
    // trailer has no bound of its own; without this one, it would grow the buffer without end.
    if (this->input.size() > this->shared->options.header_limit_bytes) {
        this->refuse(common::make_error(common::result_code::header_too_large));
        return;
    }
    const bool sender_waits = this->reader->is_header_done() && this->reader->expects_continue;
    if (sender_waits && !this->continue_sent) {
        this->send_continue();
    }
    this->start_read();
}

template <typename Stream>
auto stream_connection<Stream>::send_continue() -> void
{
    static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
    this->continue_sent = true;
    this->writing = true;
    boost::asio::async_write(
        this->stream,
        boost::asio::buffer(interim.data(), interim.size()),
        [this, keep = this->shared_from_this()](error_code problem, std::size_t) {
            this->writing = false;
            if (problem) {
                this->close();
                return;
            }
            this->flush();
        });
}

template <typename Stream>
auto stream_connection<Stream>::begin_exchange() -> void
{
    auto asked = std::move(this->reader->message);
    this->keep_alive = this->reader->keep_alive();
    this->minor_version = this->reader->minor_version;
    this->is_head_request = asked.method == "HEAD";
    this->reader.reset();
    this->now = stage::answering;
    this->timer.suspend();
    this->shared->busy.fetch_add(1, std::memory_order_relaxed);
    this->current = std::make_shared<exchange>(this->weak_from_this());
    asked.peer = this->peer;
    // Before the handler, which may answer at once and so end the exchange inside its call.
    this->start_read();
    const auto keep = this->current;
    if (this->input_ended) {
        keep->caller_left();
    }
    try {
        this->shared->handler(std::move(asked), std::make_shared<exchange_responder>(keep));
    }
    catch (const std::exception& problem) {
        // The responder was dropped on the way out, and so the caller gets an error.
        common::log(
            common::log_part::http,
            common::log_level::error,
            std::string{"handler threw what="} + problem.what());
    }
}

/// Answers what the handler never sees, and closes.
template <typename Stream>
auto stream_connection<Stream>::refuse(const common::error& why) -> void
{
    common::log(
        common::log_part::http,
        common::log_level::info,
        "request refused code=" + std::string{common::row_of(why.code).name} +
            " detail=" + why.detail);
    this->minor_version = 1;
    this->is_head_request = false;
    this->keep_alive = false;
    this->reader.reset();
    this->now = stage::answering;
    this->timer.suspend();
    this->shared->busy.fetch_add(1, std::memory_order_relaxed);
    this->current = std::make_shared<exchange>(this->weak_from_this());
    this->current->send(problem_answer(why));
}

template <typename Stream>
auto stream_connection<Stream>::on_timeout() -> void
{
    if (this->now == stage::reading_request && this->reader.has_value()) {
        this->refuse(common::make_error(common::result_code::request_timeout));
        return;
    }
    // An idle connection, one that is closing, or a caller that does not read its answer.
    this->close();
}

template <typename Stream>
auto stream_connection<Stream>::flush() -> void
{
    if (this->writing || this->current == nullptr) {
        return;
    }
    auto next = this->current->take();
    if (!next) {
        return;
    }
    if (next->cut) {
        this->reset();
        return;
    }
    this->fill_output(std::move(*next));
    this->write_output();
}

template <typename Stream>
auto stream_connection<Stream>::choose_framing(const outgoing& next) -> framing
{
    if (!next.chunked) {
        return framing::sized;
    }
    if (this->is_head_request) {
        return framing::none;
    }
    return this->minor_version == 0 ? framing::until_close : framing::chunked;
}

template <typename Stream>
auto stream_connection<Stream>::fill_output(outgoing next) -> void
{
    this->output.clear();
    this->output_body.clear();
    this->output_end.clear();
    this->output_is_last = next.last;
    if (next.head) {
        this->body_framing = this->choose_framing(next);
        this->keep_alive = this->keep_alive && !this->shared->closing && !this->input_ended &&
                           this->body_framing != framing::until_close;
        this->output = serialise_head(
            *next.head,
            {this->body_framing, next.body.size(), this->keep_alive, this->minor_version});
    }
    if (this->is_head_request) {
        return;
    }
    const bool is_chunked = this->body_framing == framing::chunked;
    if (is_chunked && !next.body.empty()) {
        std::array<char, 24> size_line{};
        const auto length =
            std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", next.body.size());
        this->output.append(size_line.data(), static_cast<std::size_t>(length));
        this->output_end = "\r\n";
    }
    if (is_chunked && next.last) {
        this->output_end += "0\r\n\r\n";
    }
    if (next.body.size() > copied_body_bytes) {
        this->output_body = std::move(next.body);
        return;
    }
    this->output += next.body;
    this->output += this->output_end;
    this->output_end.clear();
}

template <typename Stream>
auto stream_connection<Stream>::write_output() -> void
{
    this->writing = true;
    // A caller that reads nothing for this long holds its whole backlog in memory, and an engine
    // besides; it is cut.
    this->timer.expires_after(this->shared->options.write_timeout);
    const std::array<boost::asio::const_buffer, 3> pieces{
        boost::asio::buffer(this->output),
        boost::asio::buffer(this->output_body),
        boost::asio::buffer(this->output_end)};
    const auto done = [this, keep = this->shared_from_this()](error_code problem, std::size_t) {
        this->on_written(problem);
    };
    if (this->output_body.empty()) {
        boost::asio::async_write(this->stream, pieces[0], done);
    }
    else {
        boost::asio::async_write(this->stream, pieces, done);
    }
}

template <typename Stream>
auto stream_connection<Stream>::on_written(error_code problem) -> void
{
    this->writing = false;
    if (this->now == stage::closed) {
        return;
    }
    if (problem) {
        this->close();
        return;
    }
    this->timer.suspend();
    const auto keep = this->current;
    if (this->output_is_last) {
        this->end_exchange();
        return;
    }
    keep->written();
    this->flush();
}

template <typename Stream>
auto stream_connection<Stream>::end_exchange() -> void
{
    this->shared->busy.fetch_sub(1, std::memory_order_relaxed);
    const auto ended = std::move(this->current);
    this->current = nullptr;
    ended->closed();
    if (!this->keep_alive) {
        this->linger();
        return;
    }
    this->now = stage::reading_request;
    this->timer.expires_after(
        this->shared->closing ? closing_grace : this->shared->options.read_timeout);
    this->read_request();
}

template <typename Stream>
auto stream_connection<Stream>::linger() -> void
{
    if (this->input_ended) {
        this->close();
        return;
    }
    this->now = stage::lingering;
    this->timer.expires_after(linger_time);
    this->input.consume(this->input.size());
    if constexpr (is_tls) {
        // Tells the other side that the end is no truncation. The read under way goes on.
        this->stream.async_shutdown(
            [this, keep = this->shared_from_this()](error_code) { this->close(); });
    }
    else {
        error_code ignored;
        this->socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
        this->start_read();
    }
}

/// Closes so that the other side sees a broken answer. A chunked one without its last chunk is
/// recognised as broken; one that ends with the connection needs a reset for that.
template <typename Stream>
auto stream_connection<Stream>::reset() -> void
{
    if (this->body_framing == framing::until_close) {
        error_code ignored;
        this->socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    this->close();
}

template <typename Stream>
auto stream_connection<Stream>::close() -> void
{
    if (this->now == stage::closed) {
        return;
    }
    this->now = stage::closed;
    this->timer.stop();
    error_code ignored;
    this->socket().close(ignored);
    if (this->current != nullptr) {
        this->shared->busy.fetch_sub(1, std::memory_order_relaxed);
        const auto ended = std::move(this->current);
        this->current = nullptr;
        ended->closed();
    }
}

} // namespace reedramp::http
