#include "http/client_link.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "http/release_room.hpp"

namespace reedramp::http {

namespace asio = boost::asio;

namespace {

constexpr std::size_t smallest_read = 4096;
constexpr std::size_t largest_read = 64UL * 1024UL;
constexpr std::size_t largest_write = 256UL * 1024UL;
/// Bodies up to this size are copied behind the head: one piece is cheaper to write than two.
constexpr std::size_t copied_body_bytes = 16UL * 1024UL;

/// Probes an idle connection each second, and gives up on unacknowledged bytes after `time`.
auto watch_for_dead_peer(int socket, std::chrono::milliseconds time) -> void
{
    if (time.count() == 0) {
        return;
    }
    const int on = 1;
    const int idle_s = 1;
    const int interval_s = 1;
    const int probes = std::max(1, static_cast<int>(time.count() / 1000) - 1);
    const int unacknowledged_ms = static_cast<int>(time.count());
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    ::setsockopt(
        socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms, sizeof(unacknowledged_ms));
}

} // namespace

client_link::client_link(
    asio::io_context& context_to_use,
    client_options options_to_use,
    std::weak_ptr<link_owner> keeper)
    : context(context_to_use), options(options_to_use), owner(std::move(keeper)),
      socket(context_to_use.get_executor()), timer(context_to_use.get_executor()),
      read_size(smallest_read)
{
}

auto client_link::open(std::shared_ptr<pending_call> call_to_run) -> void
{
    this->call = std::move(call_to_run);
    this->call->link = this->weak_from_this();
    this->target = this->call->where;
    this->timer.set_action(this->weak_from_this(), [this] { this->on_timeout(); });
    error_code problem;
    const auto address = asio::ip::make_address(this->target.address, problem);
    if (problem) {
        this->fail(common::result_code::peer_unavailable, "bad address " + this->target.address);
        return;
    }
    this->timer.expires_after(this->options.connect_timeout);
    this->socket.async_connect(
        {address, this->target.port},
        [this, keep = this->shared_from_this()](error_code failed) { this->on_connected(failed); });
}

auto client_link::is_usable() -> bool
{
    if (this->now != stage::idle) {
        return false;
    }
    char byte = 0;
    const auto size =
        ::recv(this->socket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    if (size > 0) {
        this->note_unrequested_bytes();
    }
    // 0 is the end of the input; a byte that nobody asked for makes the next answer untrustworthy.
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto client_link::reuse(std::shared_ptr<pending_call> call_to_run) -> void
{
    this->call = std::move(call_to_run);
    this->call->link = this->weak_from_this();
    this->was_reused = true;
    this->send();
}

auto client_link::drop() -> void
{
    this->call = nullptr;
    this->close();
}

auto client_link::resume() -> void
{
    if (this->now == stage::busy) {
        this->timer.expires_after(this->options.idle_timeout);
        this->start_read();
    }
}

auto client_link::on_connected(error_code problem) -> void
{
    if (this->now == stage::closed) {
        return;
    }
    if (problem) {
        this->fail(
            common::result_code::peer_unavailable,
            "connect " + to_string(this->target) + ": " + problem.message());
        return;
    }
    error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    watch_for_dead_peer(this->socket.native_handle(), this->options.dead_peer_time);
    this->send();
}

auto client_link::send() -> void
{
    this->now = stage::busy;
    this->output = serialise_request_head(this->call->asked, this->target);
    this->reader.emplace(this->call->asked.method == "HEAD");
    this->head_delivered = false;
    this->interim_answers = 0;
    this->answer_due.reset();
    this->writing = true;
    this->written = 0;
    const auto piece_limit = [this](error_code problem, std::size_t size) -> std::size_t {
        this->written = size;
        this->timer.expires_after(this->options.idle_timeout);
        return problem ? 0 : largest_write;
    };
    // The call stays until its body is out, also if it is cancelled.
    const auto done = [this, keep = this->shared_from_this(), sending = this->call](
                          error_code problem, std::size_t size) {
        this->on_sent(problem, size);
    };
    const auto& body = this->call->asked.body;
    if (body.size() <= copied_body_bytes) {
        this->output += body;
        asio::async_write(this->socket, asio::buffer(this->output), piece_limit, done);
    }
    else {
        const std::array<asio::const_buffer, 2> pieces{
            asio::buffer(this->output), asio::buffer(body)};
        asio::async_write(this->socket, pieces, piece_limit, done);
    }
    // Until the write reports, a part of the request may be on its way.
    this->call->maybe_sent = true;
    this->start_read();
}

auto client_link::on_sent(error_code problem, std::size_t size) -> void
{
    this->writing = false;
    this->written = size;
    release_room(this->output, smallest_read);
    if (this->now != stage::busy || this->call == nullptr) {
        return;
    }
    if (problem && size == 0) {
        this->call->maybe_sent = false;
        const bool has_input = this->head_delivered || this->input.size() > 0;
        if (this->was_reused && !has_input) {
            // The server closed the kept connection. Nothing of the request is out, so that a new
            // connection cannot run it twice.
            const auto again = std::exchange(this->call, nullptr);
            const auto fresh =
                std::make_shared<client_link>(this->context, this->options, this->owner);
            this->close();
            if (again->events.on_reconnect) {
                again->events.on_reconnect();
            }
            fresh->open(again);
            return;
        }
    }
    // A server that refuses a request by its header answers and closes without reading the body.
    // The write fails then, but the answer may still be read.
    this->write_failed = static_cast<bool>(problem);
    const auto running = this->call;
    if (!problem) {
        // An answer may take long, and a connection that is kept afterwards even longer.
        release_room(running->asked.body);
    }
    if (!problem && running->events.on_sent) {
        running->events.on_sent();
    }
    if (!this->call_is_live()) {
        return;
    }
    if (this->ended_early) {
        this->on_input_end(*this->ended_early);
    }
}

auto client_link::start_read() -> void
{
    const bool is_paused = this->call != nullptr && this->call->paused;
    if (this->reading || is_paused || this->now == stage::closed) {
        return;
    }
    this->reading = true;
    this->socket.async_read_some(
        this->input.prepare(this->read_size),
        [this, keep = this->shared_from_this()](error_code problem, std::size_t size) {
            this->on_read(problem, size);
        });
}

auto client_link::watch_idle() -> void
{
    if (std::exchange(this->watching_idle, true)) {
        return;
    }
    this->socket.async_wait(
        asio::socket_base::wait_read, [this, keep = this->shared_from_this()](error_code) {
            this->watching_idle = false;
            this->on_idle_input();
        });
}

auto client_link::on_idle_input() -> void
{
    if (this->now != stage::idle) {
        return;
    }
    // A wait that began before the last request ends with that request's answer.
    if (this->is_usable()) {
        this->watch_idle();
        return;
    }
    this->close();
}

auto client_link::on_read(error_code problem, std::size_t size) -> void
{
    this->reading = false;
    if (this->now == stage::closed) {
        return;
    }
    if (problem && this->writing) {
        this->ended_early = problem;
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
    this->restart_silence();
    this->read_answer();
}

auto client_link::fail(common::result_code code, const std::string& detail) -> void
{
    const auto ended = std::exchange(this->call, nullptr);
    this->close();
    if (ended == nullptr || ended->finished) {
        return;
    }
    auto error = common::make_error(code, detail + this->describe_connection());
    error.run = ended->maybe_sent ? common::execution::unknown : common::execution::not_run;
    finish_call(this->context, *ended, tl::unexpected(std::move(error)));
}

auto client_link::describe_connection() const -> std::string
{
    return std::string{" connection="} + (this->was_reused ? "kept" : "new") +
           " written=" + std::to_string(this->written);
}

auto client_link::on_timeout() -> void
{
    if (this->now == stage::connecting) {
        this->fail(
            common::result_code::peer_unavailable,
            "connect " + to_string(this->target) + ": no answer in time");
        return;
    }
    const bool is_paused = this->call != nullptr && this->call->paused;
    if (is_paused) {
        return; // Silence that the reader asked for; `resume` sets the next deadline.
    }
    this->fail(common::result_code::server_lost, "no bytes of the answer in time");
}

auto client_link::close() -> void
{
    if (this->now == stage::closed) {
        return;
    }
    const bool was_idle = this->now == stage::idle;
    this->now = stage::closed;
    this->timer.stop();
    error_code ignored;
    this->socket.close(ignored);
    const auto keeper = this->owner.lock();
    if (was_idle && keeper != nullptr) {
        keeper->forget_idle(*this);
    }
}

auto client_link::note_unrequested_bytes() -> void
{
    if (const auto keeper = this->owner.lock()) {
        keeper->note_unrequested_bytes(*this);
    }
}

auto client_link::call_is_live() const -> bool
{
    return this->call != nullptr && !this->call->finished;
}

auto finish_call(asio::io_context& context, pending_call& call, common::result<response> answer)
    -> void
{
    call.finished = true;
    call.link.reset();
    // Not at once: the caller may hold a lock, or be inside `send` or `cancel`.
    asio::post(
        context, [events = std::exchange(call.events, {}), answer = std::move(answer)]() mutable {
            events.on_done(std::move(answer));
        });
}

} // namespace reedramp::http
