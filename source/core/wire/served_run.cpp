#include "wire/served_run.hpp"

#include <utility>

#include "wire/codec.hpp"

namespace reedramp::wire {

namespace {

/// Adjacent pieces become one up to this size. Each piece costs the entry an event and the caller a
/// chunk, so under load fewer and larger ones go out; at rest each goes alone.
constexpr std::size_t joined_piece_bytes = 4096;

/// Words of a token piece in a message besides its text.
constexpr std::size_t piece_words = 5;

/// Held by the sink that the service got. A service that drops the sink without an end would leave
/// the reader waiting; this gives the end in its place.
class sink_owner {
public:
    explicit sink_owner(std::shared_ptr<served_run> of) : run(std::move(of)) {}

    sink_owner(const sink_owner&) = delete;
    auto operator=(const sink_owner&) -> sink_owner& = delete;

    ~sink_owner()
    {
        auto why = common::make_error(common::result_code::internal_error, "run was dropped");
        this->run->push(messages::failed_event{std::move(why), {}});
    }

    auto push(messages::run_event event) -> void { this->run->push(std::move(event)); }

private:
    std::shared_ptr<served_run> run;
};

} // namespace

served_run::served_run(
    std::shared_ptr<task_queue> used_queue,
    schema::RunSink::Client reader,
    std::size_t window_bytes)
    : queue(std::move(used_queue)), window(window_bytes), sink(kj::mv(reader)),
      tasks(this->failures)
{
}

auto served_run::start(const run_hook& run, messages::run_request request)
    -> kj::Promise<served_end>
{
    auto pair = kj::newPromiseAndFulfiller<served_end>();
    this->fulfiller = kj::mv(pair.fulfiller);
    auto owner = std::make_shared<sink_owner>(this->shared_from_this());
    this->handle = run(
        std::move(request), [owner](messages::run_event event) { owner->push(std::move(event)); });
    return kj::mv(pair.promise);
}

auto served_run::abandon() -> void
{
    if (this->ended) {
        return;
    }
    this->ended = true;
    this->close_inbox();
    const auto cancelled = std::exchange(this->handle, nullptr);
    if (cancelled != nullptr) {
        cancelled->cancel();
    }
}

auto served_run::push(messages::run_event event) -> void
{
    if (!this->put(std::move(event))) {
        return;
    }
    this->queue->post([self = this->shared_from_this()] { self->flush(); });
}

auto served_run::put(messages::run_event event) -> bool
{
    const std::lock_guard guard(this->lock);
    if (this->inbox_closed || this->inbox_end) {
        return false;
    }
    if (auto* piece = std::get_if<messages::tokens_event>(&event)) {
        this->append(std::move(*piece));
    }
    else {
        this->inbox_end = std::move(event);
    }
    return !std::exchange(this->flush_posted, true);
}

auto served_run::append(messages::tokens_event piece) -> void
{
    this->inbox_bytes += piece.text.size();
    if (!this->inbox.empty()) {
        auto& last = this->inbox.back();
        const bool adjacent = last.first_index + last.count == piece.first_index;
        if (adjacent && last.text.size() + piece.text.size() <= joined_piece_bytes) {
            last.count += piece.count;
            last.text += piece.text;
            return;
        }
    }
    this->inbox.push_back(std::move(piece));
}

auto served_run::take() -> batch
{
    batch taken;
    const std::lock_guard guard(this->lock);
    this->flush_posted = false;
    std::size_t bytes = 0;
    while (!this->inbox.empty() && bytes < this->window) {
        bytes += this->inbox.front().text.size();
        taken.pieces.push_back(std::move(this->inbox.front()));
        this->inbox.pop_front();
    }
    this->inbox_bytes -= bytes;
    if (this->inbox.empty()) {
        taken.end = std::exchange(this->inbox_end, std::nullopt);
        this->inbox_closed = taken.end.has_value();
    }
    return taken;
}

auto served_run::close_inbox() -> void
{
    std::deque<messages::tokens_event> dropped;
    const std::lock_guard guard(this->lock);
    this->inbox_closed = true;
    this->inbox_bytes = 0;
    dropped.swap(this->inbox);
}

auto served_run::flush() -> void
{
    if (this->ended) {
        return;
    }
    if (this->sending) {
        this->pause_if_behind();
        return;
    }
    auto taken = this->take();
    if (!taken.pieces.empty()) {
        this->send(taken.pieces);
    }
    if (taken.end) {
        this->finish(std::move(*taken.end));
        return;
    }
    this->resume_if_paused();
}

auto served_run::send(const std::vector<messages::tokens_event>& pieces) -> void
{
    std::size_t words = 0;
    for (const auto& piece : pieces) {
        words += piece_words + piece.text.size() / sizeof(capnp::word);
    }
    auto request = this->sink.tokensRequest(capnp::MessageSize{words + piece_words, 0});
    encode(pieces, request.initPieces(static_cast<kj::uint>(pieces.size())));
    ++this->sent_messages;
    this->sending = true;
    auto self = this->shared_from_this();
    this->tasks.add(request.send().then(
        [self] {
            self->sending = false;
            self->flush();
        },
        [self](kj::Exception&& /*why*/) {
            self->sending = false;
            self->reader_failed();
        }));
}

auto served_run::finish(messages::run_event end) -> void
{
    this->ended = true;
    this->handle = nullptr;
    this->fulfiller->fulfill({std::move(end), this->sent_messages});
}

auto served_run::pause_if_behind() -> void
{
    {
        const std::lock_guard guard(this->lock);
        this->flush_posted = false;
        if (this->paused || this->inbox_end || this->inbox_bytes < this->window) {
            return;
        }
    }
    this->paused = true;
    if (this->handle != nullptr) {
        this->handle->pause();
    }
}

auto served_run::resume_if_paused() -> void
{
    if (!this->paused || this->sending) {
        return;
    }
    this->paused = false;
    if (this->handle != nullptr) {
        this->handle->resume();
    }
}

auto served_run::reader_failed() -> void
{
    if (this->ended) {
        return;
    }
    this->abandon();
    auto why = common::make_error(common::result_code::stream_broken, "reader failed");
    this->fulfiller->fulfill({messages::failed_event{std::move(why), {}}, this->sent_messages});
}

} // namespace reedramp::wire
