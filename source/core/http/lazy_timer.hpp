#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace reedramp::http {

/// A deadline that is moved often and seldom reached. Moving it later only stores it; the timer
/// finds the new deadline when the old one is due, and goes on waiting. A timer that is cancelled
/// and armed for each read costs more than the read.
///
/// Used on its executor's thread only.
class lazy_timer {
public:
    using clock = std::chrono::steady_clock;

    template <typename Executor>
    explicit lazy_timer(const Executor& executor) : timer(executor)
    {
    }

    /// `action` runs when the deadline has passed. A wait under way keeps `owner`, of which this
    /// timer is a part, alive.
    auto set_action(std::weak_ptr<void> owner_of_this, std::function<auto()->void> action_to_run)
        -> void
    {
        this->owner = std::move(owner_of_this);
        this->action = std::move(action_to_run);
    }

    auto expires_at(clock::time_point when) -> void
    {
        this->deadline = when;
        if (when < this->armed_until) {
            this->arm(when);
        }
    }

    auto expires_after(std::chrono::milliseconds time) -> void
    {
        this->expires_at(clock::now() + time);
    }

    /// Waits for nothing until the next deadline is set.
    auto suspend() -> void { this->deadline = clock::time_point::max(); }

    /// Ends it for good.
    auto stop() -> void
    {
        this->suspend();
        this->stopped = true;
        this->timer.cancel();
    }

private:
    auto arm(clock::time_point when) -> void
    {
        this->armed_until = when;
        this->timer.expires_at(when);
        this->timer.async_wait(
            [this, keep = this->owner.lock()](boost::system::error_code problem) {
                if (!problem && !this->stopped) {
                    this->on_due();
                }
            });
    }

    auto on_due() -> void
    {
        const auto due = this->deadline;
        this->armed_until = clock::time_point::max();
        if (due == clock::time_point::max()) {
            return;
        }
        if (due > clock::now()) {
            this->arm(due);
            return;
        }
        this->suspend();
        this->action();
    }

    boost::asio::steady_timer timer;
    std::weak_ptr<void> owner;
    std::function<auto()->void> action;
    clock::time_point deadline = clock::time_point::max();
    clock::time_point armed_until = clock::time_point::max();
    bool stopped = false;
};

} // namespace reedramp::http
