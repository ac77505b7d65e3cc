#pragma once

#include <algorithm>
#include <exception>
#include <iterator>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "common/log.hpp"
#include "http/release_room.hpp"
#include "http/stream_connection.hpp"

/// The reading half of a connection: from bytes to a whole request, or to its refusal.
namespace reedramp::http {

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
auto stream_connection<Stream>::start_read() -> void
{
    const bool buffer_is_full = this->now == stage::answering && this->input.size() >= largest_read;
    if (this->reading || this->input_ended || this->now == stage::closed || buffer_is_full) {
        return;
    }
    this->reading = true;
    this->incoming.resize(this->read_size);
    this->stream.async_read_some(
        boost::asio::buffer(this->incoming),
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
    if (this->now == stage::lingering) {
        this->start_read();
        return;
    }
    this->append_input(size);
    if (this->now == stage::reading_request) {
        this->read_request();
        return;
    }
    this->start_read();
}

template <typename Stream>
auto stream_connection<Stream>::append_input(std::size_t size) -> void
{
    const auto bytes = boost::asio::buffer(this->incoming, size);
    this->input.commit(boost::asio::buffer_copy(this->input.prepare(size), bytes));
    if (size == this->read_size && this->read_size < largest_read) {
        this->read_size *= 2;
    }
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
    if (this->take_request_memory()) {
        this->begin_exchange();
    }
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
    if (!this->take_request_memory()) {
        return;
    }
    const bool sender_waits = this->reader->is_header_done() && this->reader->expects_continue;
    if (sender_waits && !this->continue_sent) {
        this->send_continue();
    }
    this->start_read();
}

template <typename Stream>
auto stream_connection<Stream>::request_size() const -> std::size_t
{
    const auto arrived = this->reader->message.body.size() + this->input.size();
    const auto stated =
        this->reader->is_header_done() ? this->reader->content_length() : boost::none;
    return std::max(arrived, static_cast<std::size_t>(stated.value_or(0)));
}

template <typename Stream>
auto stream_connection<Stream>::take_request_memory() -> bool
{
    const auto size = this->request_size();
    if (!this->shared->memory.has_room(this->request_bytes, size)) {
        this->refuse_for_memory();
        return false;
    }
    this->note_request_bytes(size);
    return true;
}

template <typename Stream>
auto stream_connection<Stream>::note_request_bytes(std::size_t bytes) -> void
{
    this->shared->memory.change(this->request_bytes, bytes);
    this->request_bytes = bytes;
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
    this->note_request_bytes(asked.body.size());
    this->keep_alive = this->reader->keep_alive();
    this->minor_version = this->reader->minor_version;
    this->is_head_request = asked.method == "HEAD";
    this->reader.reset();
    this->now = stage::answering;
    this->timer.suspend();
    this->shared->busy.fetch_add(1, std::memory_order_relaxed);
    this->current = std::make_shared<exchange>(this->weak_from_this());
    asked.peer = this->peer;
    // The read that goes on while the answer is made needs little room. Hundreds of connections
    // that wait for their streams would else keep the buffers of their large requests.
    if (this->input.size() == 0 && !this->reading) {
        this->input.shrink_to_fit();
        release_room(this->incoming);
        this->read_size = smallest_read;
    }
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

/// Its sender may come back, since nothing of the request has run. What still arrives of the body
/// is read and dropped: a reset could destroy the answer before its sender, who is still writing,
/// reads it.
template <typename Stream>
auto stream_connection<Stream>::refuse_for_memory() -> void
{
    if (this->shared->options.on_memory_full) {
        this->shared->options.on_memory_full();
    }
    this->refused_in_body = !this->reader->is_done();
    this->refuse(
        common::make_error(common::result_code::memory_full),
        {{"Retry-After", std::string{memory_retry_after}}});
}

/// Answers what the handler never sees, and closes.
template <typename Stream>
auto stream_connection<Stream>::refuse(const common::error& why, std::vector<header> more) -> void
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
    this->note_request_bytes(0);
    this->now = stage::answering;
    this->timer.suspend();
    this->shared->busy.fetch_add(1, std::memory_order_relaxed);
    this->current = std::make_shared<exchange>(this->weak_from_this());
    auto answer = problem_answer(why);
    std::ranges::move(more, std::back_inserter(answer.headers));
    this->current->send(std::move(answer));
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

} // namespace reedramp::http
