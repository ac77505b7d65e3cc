#include "agent/event_outbox.hpp"

#include <utility>
#include <variant>

namespace reedramp::agent {

event_outbox::event_outbox(messages::run_sink target) : sink(std::move(target)) {}

auto event_outbox::push(messages::run_event event) -> void
{
    const auto* tokens = std::get_if<messages::tokens_event>(&event);
    this->ended = tokens == nullptr;
    auto* last = this->waiting.empty() ? nullptr
                                       : std::get_if<messages::tokens_event>(&this->waiting.back());
    if (tokens != nullptr && last != nullptr) {
        // Tokens that the reader has not taken yet travel in one message.
        last->count += tokens->count;
        last->text += tokens->text;
        return;
    }
    this->waiting.push_back(std::move(event));
}

auto event_outbox::put(messages::run_event event) -> void
{
    {
        const std::lock_guard guard(this->lock);
        if (this->ended || this->closed) {
            return;
        }
        this->push(std::move(event));
        if (this->busy) {
            return;
        }
        this->busy = true;
    }
    this->deliver();
}

auto event_outbox::release_if_empty() -> bool
{
    messages::run_sink dropped;
    const std::lock_guard guard(this->lock);
    if (!this->waiting.empty()) {
        return false;
    }
    this->busy = false;
    this->drop_sink_if_over(dropped);
    return true;
}

auto event_outbox::release() -> void
{
    this->deliver();
}

auto event_outbox::close() -> void
{
    messages::run_sink dropped;
    const std::lock_guard guard(this->lock);
    this->closed = true;
    this->waiting.clear();
    if (!this->busy) {
        this->drop_sink_if_over(dropped);
    }
}

auto event_outbox::deliver() -> void
{
    // Destroyed after the lock is free: what the reader holds may call back.
    messages::run_sink dropped;
    while (true) {
        messages::run_event next;
        {
            const std::lock_guard guard(this->lock);
            if (this->waiting.empty()) {
                this->busy = false;
                this->drop_sink_if_over(dropped);
                return;
            }
            next = std::move(this->waiting.front());
            this->waiting.pop_front();
        }
        this->sink(std::move(next));
    }
}

auto event_outbox::drop_sink_if_over(messages::run_sink& dropped) -> void
{
    if (this->ended || this->closed) {
        dropped.swap(this->sink);
    }
}

} // namespace reedramp::agent
