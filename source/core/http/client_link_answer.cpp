#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

#include "http/client_link.hpp"

/// Part of `client_link` that reads the answer to a call.
namespace reedramp::http {

namespace asio = boost::asio;

namespace {

/// Bytes of an answer that the reader may leave because their line has not ended. Without it, a
/// chunk line or trailers without end would fill the memory.
constexpr std::size_t largest_unread = 64UL * 1024UL;
/// Servers send one or two; the protocol has no bound.
constexpr unsigned most_interim_answers = 10;

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

} // namespace reedramp::http
