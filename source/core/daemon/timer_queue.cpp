#include "daemon/timer_queue.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/dispatch.hpp>

#include "daemon/guarded_run.hpp"

namespace reedramp::daemon {

namespace {

constexpr std::chrono::seconds longest_wait{1};

} // namespace

timer_queue::timer_queue(boost::asio::io_context& context_to_use, common::clock_hook clock_to_use)
    : context(context_to_use), clock(std::move(clock_to_use)), timer(context_to_use)
{
}

auto timer_queue::add(common::time_point when, std::function<auto()->void> action) -> void
{
    {
        const std::lock_guard guard(this->lock);
        this->added += 1;
        this->entries.push({when, this->added, std::move(action)});
        if (when >= this->armed_until) {
            return;
        }
        this->armed_until = when;
    }
    boost::asio::dispatch(this->context, [keep = this->shared_from_this()] { keep->arm(); });
}

auto timer_queue::clear() -> void
{
    while (true) {
        decltype(this->entries) dropped;
        {
            const std::lock_guard guard(this->lock);
            std::swap(dropped, this->entries);
        }
        if (dropped.empty()) {
            return;
        }
    }
}

/// On the context's thread.
auto timer_queue::arm() -> void
{
    common::time_point first = common::never;
    {
        const std::lock_guard guard(this->lock);
        if (this->entries.empty()) {
            this->armed_until = common::never;
            return;
        }
        first = this->entries.top().when;
        this->armed_until = first;
    }
    const auto wait =
        std::clamp<common::duration>(first - this->clock(), common::duration::zero(), longest_wait);
    this->timer.expires_after(wait);
    this->timer.async_wait(
        [keep = this->shared_from_this()](const boost::system::error_code& replaced) {
            if (!replaced) {
                keep->run_due();
            }
        });
}

auto timer_queue::run_due() -> void
{
    for (const auto& action : this->take_due()) {
        // An exception here would end all timers, not this one alone.
        run_guarded(action);
    }
    this->arm();
}

auto timer_queue::take_due() -> std::vector<std::function<auto()->void>>
{
    const auto now = this->clock();
    std::vector<std::function<auto()->void>> due;
    const std::lock_guard guard(this->lock);
    while (!this->entries.empty() && this->entries.top().when <= now) {
        // The heap only gives a const top; the entry is removed in the next step.
        due.push_back(std::move(const_cast<entry&>(this->entries.top()).action));
        this->entries.pop();
    }
    return due;
}

} // namespace reedramp::daemon
