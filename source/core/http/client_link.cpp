#include "http/client_link.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "http/release_room.hpp"

namespace reedramp::http {

namespace asio = boost::asio;

namespace {

constexpr std::size_t smallest_read = 4096;
constexpr std::size_t largest_read = 64UL * 1024UL;
constexpr std::size_t largest_write = 256UL * 1024UL;
/// Bodies up to this size are copied behind the head: one piece is cheaper to write than two.
constexpr std::size_t copied_body_bytes = 16UL * 1024UL;
/// Bytes of an answer that the reader may leave because their line has not ended. Without it, a
/// chunk line or trailers without end would fill the memory.
constexpr std::size_t largest_unread = 64UL * 1024UL;
/// Servers send one or two; the protocol has no bound.
constexpr unsigned most_interim_answers = 10;

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

/// The time that a server's "Keep-Alive: timeout=N" names.
auto named_idle_time(const response& answer) -> std::optional<std::chrono::milliseconds>
{
    const auto value = find_header(answer.headers, "Keep-Alive");
    constexpr std::string_view field = "timeout=";
    const auto at = value ? value->find(field) : std::string_view::npos;
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto number = value->substr(at + field.size());
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(number.data(), number.data() + number.size(), seconds);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds{seconds};
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

auto client_link::restart_silence() -> void
{
    const bool is_taken_whole = this->call != nullptr && !this->call->events.on_chunk;
    if (!is_taken_whole) {
        this->timer.expires_after(this->options.idle_timeout);
        return;
    }
    const auto time = std::chrono::steady_clock::now();
    this->answer_due = this->answer_due.value_or(time + this->options.answer_time);
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(*this->answer_due - time);
    this->timer.expires_after(
        std::clamp(left, std::chrono::milliseconds{0}, this->options.idle_timeout));
}

auto client_link::on_input_end(error_code problem) -> void
{
    // After a reset that the write reported, the read ends as if the server had closed in good
    // order.
    const bool is_orderly = problem == asio::error::eof && !this->write_failed;
    const bool ends_by_close =
        is_orderly && this->reader->is_header_done() && this->reader->need_eof();
    if (ends_by_close) {
        this->reader->message.ended_by_close = true;
        this->finish();
        return;
    }
    const auto code = this->head_delivered ? common::result_code::stream_broken
                                           : common::result_code::server_lost;
    this->fail(code, "read: " + problem.message());
}

auto client_link::read_answer() -> void
{
    const auto problem = this->parse();
    if (problem && problem != boost::beast::http::error::need_more) {
        this->fail(common::result_code::server_lost, "answer: " + problem.message());
        return;
    }
    if (this->input.size() > largest_unread || this->interim_answers > most_interim_answers) {
        this->fail(common::result_code::server_lost, "answer: no end of its framing");
        return;
    }
    if (!this->reader->is_header_done()) {
        this->start_read();
        return;
    }
    const bool goes_on = this->deliver_head() && this->deliver_piece();
    if (!goes_on) {
        return;
    }
    if (this->reader->is_done()) {
        this->finish();
        return;
    }
    this->start_read();
}

/// Feeds the reader with all that is there. Interim answers are skipped.
auto client_link::parse() -> error_code
{
    while (this->input.size() > 0) {
        if (this->reader->is_done() && !this->reader->is_interim()) {
            return {};
        }
        if (this->reader->is_done()) {
            this->skip_interim();
        }
        if (const auto problem = this->put_input()) {
            return problem;
        }
    }
    if (this->reader->is_done() && this->reader->is_interim()) {
        this->skip_interim();
    }
    return {};
}

auto client_link::put_input() -> error_code
{
    error_code problem;
    const bool awaits_head = !this->reader->is_header_done();
    const auto bytes = this->input.data();
    const auto used = this->reader->put(bytes, problem);
    // The reader takes a head in pieces, each of whole lines.
    if (awaits_head && has_folded_line({static_cast<const char*>(bytes.data()), used})) {
        problem = boost::beast::http::error::bad_field;
    }
    this->input.consume(used);
    return problem;
}

auto client_link::skip_interim() -> void
{
    this->interim_answers += 1;
    this->reader.emplace(this->call->asked.method == "HEAD");
}

/// False when the call has ended.
auto client_link::deliver_head() -> bool
{
    if (this->head_delivered) {
        return true;
    }
    this->head_delivered = true;
    const auto running = this->call;
    if (running->events.on_head) {
        response head;
        head.status = this->reader->message.status;
        head.headers = this->reader->message.headers;
        running->events.on_head(head);
    }
    return this->call_is_live();
}

/// Hands on the body read so far, or checks its bound. False when the call has ended.
auto client_link::deliver_piece() -> bool
{
    auto& body = this->reader->message.body;
    const auto running = this->call;
    if (running->events.on_chunk && !body.empty()) {
        running->events.on_chunk(std::exchange(body, {}));
        return this->call_is_live();
    }
    if (body.size() > this->options.body_limit_bytes) {
        this->fail(common::result_code::server_lost, "the answer is larger than the limit");
        return false;
    }
    return true;
}

auto client_link::finish() -> void
{
    const auto ended = std::exchange(this->call, nullptr);
    auto answer = std::move(this->reader->message);
    const bool reusable = this->reader->is_done() && this->reader->keep_alive() && !this->writing &&
                          !this->write_failed && this->input.size() == 0;
    if (this->input.size() > 0) {
        this->note_unrequested_bytes();
    }
    this->reader.reset();
    const auto keeper = this->owner.lock();
    const auto named = named_idle_time(answer);
    const auto idle_time =
        named ? std::min(this->options.keep_idle_time, *named / 2) : this->options.keep_idle_time;
    if (reusable && keeper != nullptr && idle_time.count() > 0) {
        this->now = stage::idle;
        this->timer.expires_after(idle_time);
        this->watch_idle();
        keeper->keep_idle(this->shared_from_this());
    }
    else {
        this->close();
    }
    ended->link.reset();
    ended->finished = true;
    const auto events = std::exchange(ended->events, {});
    events.on_done(std::move(answer));
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
