#include "router/held_stream.hpp"

#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

held_streams::held_streams(
    common::clock_hook clock_to_use,
    common::timer_hook timer_to_use,
    held_stream_options options_to_use,
    const router_metrics& counters_to_use)
    : clock(std::move(clock_to_use)), timer(std::move(timer_to_use)), options(options_to_use),
      counters(counters_to_use), bytes(options_to_use.held)
{
}

auto held_streams::open(std::string request, std::shared_ptr<http::responder> caller)
    -> std::shared_ptr<held_stream>
{
    auto stream = std::make_shared<held_stream>(*this, std::move(request), std::move(caller));
    if (this->options.held.budget > 0) {
        stream->counted = true;
        stream->number = this->bytes.add(this->clock());
        this->streams[stream->number.value()] = stream.get();
    }
    return stream;
}

auto held_streams::forget(overload::held_stream_id number) -> void
{
    this->streams.erase(number.value());
    this->bytes.remove(number);
}

auto held_streams::note(held_stream& stream) -> void
{
    if (!stream.counted) {
        return;
    }
    this->count(stream);
    this->enforce_budget();
    this->schedule_sample();
}

auto held_streams::count(held_stream& stream) -> void
{
    // Bytes that still arrive for a buffered response show progress too: its caller is not slow.
    this->bytes.update(
        stream.number, stream.held(), stream.caller->taken() + stream.buffered, this->clock());
}

auto held_streams::enforce_budget() -> void
{
    if (!this->bytes.is_over_budget()) {
        return;
    }
    // Callers may have read since their last write.
    this->sample();
    while (const auto chosen = this->bytes.choose_stream_to_give_up(this->clock())) {
        const auto stream = this->streams.at(chosen->value())->shared_from_this();
        common::log(
            common::log_part::entry,
            common::log_level::warning,
            "stream given up request=" + stream->request +
                " held=" + std::to_string(this->bytes.held_by(*chosen)) + " idle_ms=" +
                std::to_string(this->bytes.idle_time(*chosen, this->clock()).count()) +
                " total=" + std::to_string(this->bytes.total()) +
                " budget=" + std::to_string(this->options.held.budget));
        this->counters.streams_given_up.add();
        stream->give_up();
    }
}

auto held_streams::sample() -> void
{
    for (const auto& [number, stream] : this->streams) {
        if (this->bytes.held_by(stream->number) > 0) {
            this->count(*stream);
        }
    }
}

auto held_streams::schedule_sample() -> void
{
    if (this->is_sampling || this->bytes.total() == 0) {
        return;
    }
    this->is_sampling = true;
    this->timer(this->clock() + this->options.sample_interval, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->is_sampling = false;
            self->sample();
            self->schedule_sample();
        }
    });
}

auto held_streams::note_pause(held_stream& stream) -> void
{
    this->counters.pauses.add();
    const auto now = this->clock();
    if (now - this->pause_lines_since >= std::chrono::seconds{1}) {
        this->pause_lines_since = now;
        this->pause_lines = 0;
    }
    const bool is_first = !std::exchange(stream.was_paused, true);
    if (!is_first || this->pause_lines >= this->options.pause_lines_per_second) {
        return;
    }
    this->pause_lines += 1;
    common::log(
        common::log_part::entry,
        common::log_level::info,
        "paused request=" + stream.request + " held=" + std::to_string(stream.held()) +
            " total=" + std::to_string(this->bytes.total()));
}

held_stream::held_stream(
    held_streams& owner_to_use,
    std::string request_name,
    std::shared_ptr<http::responder> caller_to_use)
    : owner(owner_to_use), request(std::move(request_name)), caller(std::move(caller_to_use))
{
}

held_stream::~held_stream()
{
    if (this->counted) {
        this->owner.forget(this->number);
    }
}

auto held_stream::send(http::response answer) -> void
{
    this->caller->send(std::move(answer));
    this->end();
}

auto held_stream::start(http::response head) -> void
{
    this->caller->start(std::move(head));
}

auto held_stream::write(std::string chunk) -> void
{
    const auto keep = this->shared_from_this();
    this->caller->write(std::move(chunk));
    this->pause_if_slow();
    this->owner.note(*this);
}

auto held_stream::finish() -> void
{
    this->caller->finish();
    this->end();
}

auto held_stream::abort() -> void
{
    this->caller->abort();
    this->release();
}

auto held_stream::drop_unsent() -> void
{
    this->caller->drop_unsent();
    this->release();
}

auto held_stream::backlog() const -> std::size_t
{
    return this->caller->backlog();
}

auto held_stream::taken() const -> std::uint64_t
{
    return this->caller->taken();
}

auto held_stream::when_drained(std::size_t low_water, std::function<auto()->void> action) -> void
{
    this->caller->when_drained(low_water, std::move(action));
}

auto held_stream::on_disconnect(std::function<auto()->void> action) -> void
{
    this->caller->on_disconnect(std::move(action));
}

auto held_stream::follow(std::shared_ptr<http::call> call, std::size_t request_body) -> void
{
    const auto keep = this->shared_from_this();
    this->server = std::move(call);
    this->paused = false;
    this->buffered = 0;
    this->unsent = request_body;
    this->owner.note(*this);
}

auto held_stream::note_request_sent() -> void
{
    this->unsent = 0;
    this->owner.note(*this);
}

auto held_stream::note_buffered(std::size_t size) -> void
{
    if (size != this->buffered) {
        const auto keep = this->shared_from_this();
        this->buffered = size;
        this->owner.note(*this);
    }
}

auto held_stream::when_given_up(std::function<auto()->void> action) -> void
{
    this->given_up_action = std::move(action);
}

auto held_stream::reading_since() const -> time_point
{
    return this->paused ? this->owner.clock() : this->resumed_at;
}

auto held_stream::held() const -> std::size_t
{
    return this->caller->backlog() + this->buffered + this->unsent;
}

auto held_stream::pause_if_slow() -> void
{
    const auto& options = this->owner.options;
    if (!this->counted || this->server == nullptr || this->awaits_drain ||
        this->caller->backlog() <= options.high_water) {
        return;
    }
    this->paused = true;
    this->awaits_drain = true;
    this->paused_at = this->owner.clock();
    this->server->pause();
    this->watch_pause();
    this->owner.note_pause(*this);
    this->caller->when_drained(options.low_water, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_drained();
        }
    });
}

/// One timer at a time: a caller that reads fast in large pieces is paused often.
auto held_stream::watch_pause() -> void
{
    if (std::exchange(this->watches_pause, true)) {
        return;
    }
    const auto ends_at = this->paused_at + this->owner.options.longest_pause;
    this->owner.timer(ends_at, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self == nullptr) {
            return;
        }
        self->watches_pause = false;
        if (!self->paused) {
            return;
        }
        if (self->owner.clock() < self->paused_at + self->owner.options.longest_pause) {
            self->watch_pause();
            return;
        }
        self->resume();
    });
}

auto held_stream::on_drained() -> void
{
    this->awaits_drain = false;
    this->owner.note(*this);
    if (this->paused) {
        this->resume();
    }
}

auto held_stream::resume() -> void
{
    this->paused = false;
    this->resumed_at = this->owner.clock();
    if (this->server != nullptr) {
        this->server->resume();
    }
}

auto held_stream::end() -> void
{
    this->server.reset();
    this->paused = false;
    this->given_up_action = nullptr;
    this->buffered = 0;
    this->unsent = 0;
    if (!this->counted) {
        return;
    }
    const auto keep = this->shared_from_this();
    if (this->caller->backlog() == 0) {
        this->release();
        return;
    }
    // The request ends here, and with it the last other owner of this object.
    this->owner.draining[this->number.value()] = keep;
    this->caller->when_drained(1, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->release();
        }
    });
    this->owner.note(*this);
}

auto held_stream::release() -> void
{
    this->server.reset();
    this->paused = false;
    this->given_up_action = nullptr;
    if (std::exchange(this->counted, false)) {
        this->owner.forget(this->number);
        this->owner.draining.erase(this->number.value());
    }
}

auto held_stream::give_up() -> void
{
    // Takes the stream out of the count before the request's end changes it again.
    const auto action = std::exchange(this->given_up_action, nullptr);
    const auto keep = this->shared_from_this();
    this->release();
    if (action) {
        action();
    }
    else {
        this->caller->drop_unsent();
    }
}

} // namespace reedramp::router
