#include "agent/event_outbox.hpp"

#include <utility>
#include <variant>

namespace reedramp::agent {

event_outbox::event_outbox(messages::run_sink target) : sink(std::move(target)) {}

auto event_outbox::append(messages::run_event event) -> void
{
    const auto* tokens = std::get_if<messages::tokens_event>(&event);
    this->has_final_event = tokens == nullptr;
    auto* last = this->pending.empty() ? nullptr
                                       : std::get_if<messages::tokens_event>(&this->pending.back());
    if (tokens != nullptr && last != nullptr) {
        // Tokens not delivered yet are merged into one message.
        last->count += tokens->count;
        last->text += tokens->text;
        return;
    }
    this->pending.push_back(std::move(event));
}

auto event_outbox::send(messages::run_event event) -> void
{
    {
        const std::lock_guard guard(this->lock);
        if (this->has_final_event || this->is_closed) {
            return;
        }
        this->append(std::move(event));
        if (this->is_delivering) {
            return;
        }
        this->is_delivering = true;
    }
    this->deliver();
}

auto event_outbox::release_if_empty() -> bool
{
    messages::run_sink dropped;
    const std::lock_guard guard(this->lock);
    if (!this->pending.empty()) {
        return false;
    }
    this->is_delivering = false;
    this->drop_sink_if_done(dropped);
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
    this->is_closed = true;
    this->pending.clear();
    if (!this->is_delivering) {
        this->drop_sink_if_done(dropped);
    }
}

auto event_outbox::deliver() -> void
{
    // Destroyed after unlocking, since destroying the sink may call back into this object.
    messages::run_sink dropped;
    while (true) {
        messages::run_event next;
        {
            const std::lock_guard guard(this->lock);
            if (this->pending.empty()) {
                this->is_delivering = false;
                this->drop_sink_if_done(dropped);
                return;
            }
            next = std::move(this->pending.front());
            this->pending.pop_front();
        }
        this->sink(std::move(next));
    }
}

auto event_outbox::drop_sink_if_done(messages::run_sink& dropped) -> void
{
    if (this->has_final_event || this->is_closed) {
        dropped.swap(this->sink);
    }
}

} // namespace reedramp::agent
