#include "platform/fake_time.hpp"

#include <algorithm>

namespace reedramp::platform {

auto fake_time::clock() -> common::clock_hook
{
    return [this] {
        return this->current;
    };
}

auto fake_time::timers() -> common::timer_hook
{
    return [this](common::time_point when, std::function<auto()->void> action) {
        this->at(when, std::move(action));
    };
}

auto fake_time::at(common::time_point when, std::function<auto()->void> action) -> void
{
    const auto due = std::max(when, this->current);
    this->queue.emplace(order{due, this->next_sequence}, std::move(action));
    ++this->next_sequence;
}

auto fake_time::run_until(common::time_point end) -> void
{
    while (!this->queue.empty() && this->queue.begin()->first.first <= end) {
        auto next = this->queue.extract(this->queue.begin());
        this->current = std::max(this->current, next.key().first);
        next.mapped()();
    }
    this->current = std::max(this->current, end);
}

} // namespace reedramp::platform
