#include "http/exchange.hpp"

#include <utility>

#include "http/codec.hpp"

namespace reedramp::http {

exchange::exchange(std::weak_ptr<flusher> connection_to_use)
    : connection(std::move(connection_to_use))
{
}

auto exchange::send(response answer_to_send) -> void
{
    std::unique_lock guard(this->lock);
    if (this->answer != stage::waiting || this->connection_closed) {
        return;
    }
    this->answer = stage::ended;
    this->pending.body = std::move(answer_to_send.body);
    answer_to_send.body.clear();
    this->pending.head = std::move(answer_to_send);
    this->pending.last = true;
    this->request_flush(guard, urgency::now);
}

auto exchange::start(response head) -> void
{
    std::unique_lock guard(this->lock);
    if (this->answer != stage::waiting || this->connection_closed) {
        return;
    }
    this->answer = stage::started;
    head.body.clear();
    this->pending.head = std::move(head);
    this->pending.chunked = true;
    this->request_flush(guard, urgency::soon);
}

auto exchange::write(std::string chunk) -> void
{
    std::unique_lock guard(this->lock);
    if (this->answer != stage::started || this->connection_closed || chunk.empty()) {
        return;
    }
    if (this->pending.body.empty()) {
        this->pending.body = std::move(chunk);
    }
    else {
        this->pending.body += chunk;
    }
    this->request_flush(guard, urgency::soon);
}

auto exchange::finish() -> void
{
    std::unique_lock guard(this->lock);
    if (this->answer != stage::started || this->connection_closed) {
        return;
    }
    this->answer = stage::ended;
    this->pending.last = true;
    this->request_flush(guard, urgency::soon);
}

auto exchange::abort() -> void
{
    std::unique_lock guard(this->lock);
    if (this->answer == stage::ended || this->connection_closed) {
        return;
    }
    this->answer = stage::ended;
    this->pending.cut = true;
    this->request_flush(guard, urgency::soon);
}

auto exchange::drop_unsent() -> void
{
    std::unique_lock guard(this->lock);
    if (this->connection_closed) {
        return;
    }
    this->answer = stage::ended;
    this->pending.cut = true;
    // At once, since the caller of this function needs the memory.
    this->request_flush(guard, urgency::now);
}

auto exchange::taken() const -> std::uint64_t
{
    return this->taken_before + this->taken_in_flight;
}

auto exchange::backlog() -> std::size_t
{
    const std::lock_guard guard(this->lock);
    return this->held_bytes();
}

auto exchange::when_drained(std::size_t low_water, action run) -> void
{
    std::unique_lock guard(this->lock);
    const bool drained = this->connection_closed || this->held_bytes() < low_water;
    if (!drained) {
        this->waiters.push_back({low_water, std::move(run)});
        return;
    }
    guard.unlock();
    this->run_soon(std::move(run));
}

auto exchange::on_disconnect(action run) -> void
{
    std::unique_lock guard(this->lock);
    if (!this->caller_gone) {
        this->disconnect_action = std::move(run);
        return;
    }
    const bool answer_has_ended = this->answer == stage::ended;
    guard.unlock();
    if (!answer_has_ended) {
        this->run_soon(std::move(run));
    }
}

auto exchange::abandon() -> void
{
    std::unique_lock guard(this->lock);
    const auto was = this->answer;
    guard.unlock();
    if (was == stage::waiting) {
        this->send(problem_answer(common::make_error(common::result_code::internal_error)));
    }
    if (was == stage::started) {
        this->abort();
    }
}

auto exchange::take() -> std::optional<outgoing>
{
    const std::lock_guard guard(this->lock);
    this->flush_requested = false;
    if (!this->has_news) {
        return std::nullopt;
    }
    this->has_news = false;
    auto taken = std::move(this->pending);
    this->pending = outgoing{};
    this->pending.chunked = taken.chunked;
    this->in_flight_bytes = taken.body.size();
    return taken;
}

auto exchange::is_cut() -> bool
{
    const std::lock_guard guard(this->lock);
    return this->pending.cut;
}

auto exchange::written_part(std::size_t bytes) -> void
{
    this->taken_in_flight = bytes;
}

auto exchange::written() -> void
{
    this->taken_before += this->taken_in_flight.exchange(0);
    std::vector<action> ready;
    {
        const std::lock_guard guard(this->lock);
        this->in_flight_bytes = 0;
        const auto held = this->held_bytes();
        std::erase_if(this->waiters, [held, &ready](waiter& item) {
            if (held >= item.low_water) {
                return false;
            }
            ready.push_back(std::move(item.run));
            return true;
        });
    }
    for (const auto& run : ready) {
        run();
    }
}

auto exchange::caller_left() -> void
{
    action run;
    {
        const std::lock_guard guard(this->lock);
        const bool first_time = !std::exchange(this->caller_gone, true);
        if (first_time && this->answer != stage::ended) {
            run = std::exchange(this->disconnect_action, nullptr);
        }
    }
    if (run) {
        this->run_soon(std::move(run));
    }
}

auto exchange::closed() -> void
{
    this->caller_left();
    std::vector<waiter> released;
    action dropped; // Destroyed outside the lock: it may hold what calls back into this object.
    {
        const std::lock_guard guard(this->lock);
        this->connection_closed = true;
        this->in_flight_bytes = 0;
        this->pending = outgoing{};
        released.swap(this->waiters);
        dropped.swap(this->disconnect_action);
    }
    for (auto& item : released) {
        this->run_soon(std::move(item.run));
    }
}

auto exchange::request_flush(std::unique_lock<std::mutex>& guard, urgency when) -> void
{
    this->has_news = true;
    if (when == urgency::soon && this->flush_requested) {
        return;
    }
    this->flush_requested = true;
    guard.unlock();
    const auto target = this->connection.lock();
    if (!target) {
        return;
    }
    if (when == urgency::now) {
        target->flush_now();
    }
    else {
        target->flush_soon();
    }
}

auto exchange::run_soon(action run) -> void
{
    // Without a connection there is no thread left to run it on, and its owner has been told that
    // the caller left.
    if (const auto target = this->connection.lock()) {
        target->run_soon(std::move(run));
    }
}

auto exchange::held_bytes() const -> std::size_t
{
    return this->pending.body.size() + this->in_flight_bytes;
}

exchange_responder::exchange_responder(std::shared_ptr<exchange> target_to_use)
    : target(std::move(target_to_use))
{
}

exchange_responder::~exchange_responder()
{
    this->target->abandon();
}

auto exchange_responder::send(response answer) -> void
{
    this->target->send(std::move(answer));
}

auto exchange_responder::start(response head) -> void
{
    this->target->start(std::move(head));
}

auto exchange_responder::write(std::string chunk) -> void
{
    this->target->write(std::move(chunk));
}

auto exchange_responder::finish() -> void
{
    this->target->finish();
}

auto exchange_responder::abort() -> void
{
    this->target->abort();
}

auto exchange_responder::backlog() const -> std::size_t
{
    return this->target->backlog();
}

auto exchange_responder::taken() const -> std::uint64_t
{
    return this->target->taken();
}

auto exchange_responder::drop_unsent() -> void
{
    this->target->drop_unsent();
}

auto exchange_responder::when_drained(std::size_t low_water, std::function<auto()->void> action)
    -> void
{
    this->target->when_drained(low_water, std::move(action));
}

auto exchange_responder::on_disconnect(std::function<auto()->void> action) -> void
{
    this->target->on_disconnect(std::move(action));
}

} // namespace reedramp::http
