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
    const std::lock_guard guard(this->lock);
    if (!this->waiting.empty()) {
        return false;
    }
    this->busy = false;
    return true;
}

auto event_outbox::release() -> void
{
    this->deliver();
}

auto event_outbox::close() -> void
{
    const std::lock_guard guard(this->lock);
    this->closed = true;
    this->waiting.clear();
}

auto event_outbox::deliver() -> void
{
    while (true) {
        messages::run_event next;
        {
            const std::lock_guard guard(this->lock);
            if (this->waiting.empty()) {
                this->busy = false;
                return;
            }
            next = std::move(this->waiting.front());
            this->waiting.pop_front();
        }
        this->sink(std::move(next));
    }
}

} // namespace reedramp::agent
