#pragma once

#include <array>
#include <cstdio>
#include <memory>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "http/stream_connection.hpp"

/// The writing half of a connection: from an exchange to bytes, and what follows an answer.
namespace reedramp::http {

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
auto stream_connection<Stream>::flush() -> void
{
    if (this->current == nullptr) {
        return;
    }
    // Also while a write is under way: a caller that does not read would keep it there.
    if (this->current->is_cut()) {
        this->reset();
        return;
    }
    if (this->writing) {
        return;
    }
    auto next = this->current->take();
    if (!next) {
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
        this->keep_alive = this->keep_alive && !this->shared->closing &&
                           !this->shared->announces_close && !this->input_ended &&
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
    // besides; it is cut. One that reads slowly moves the deadline with each piece.
    const auto piece_limit =
        [this, of = this->current](error_code problem, std::size_t size) -> std::size_t {
        this->timer.expires_after(this->shared->options.write_timeout);
        of->written_part(size);
        return problem ? 0 : largest_write;
    };
    const std::array<boost::asio::const_buffer, 3> pieces{
        boost::asio::buffer(this->output),
        boost::asio::buffer(this->output_body),
        boost::asio::buffer(this->output_end)};
    const auto done = [this, keep = this->shared_from_this()](error_code problem, std::size_t) {
        this->on_written(problem);
    };
    if (this->output_body.empty()) {
        boost::asio::async_write(this->stream, pieces[0], piece_limit, done);
    }
    else {
        boost::asio::async_write(this->stream, pieces, piece_limit, done);
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
    this->note_request_bytes(0);
    release_room(this->output, smallest_read);
    release_room(this->output_body);
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
    this->timer.expires_after(
        this->refused_in_body ? this->shared->options.read_timeout : linger_time);
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
    this->note_request_bytes(0);
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
