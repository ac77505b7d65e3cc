#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace reedramp::entry {

/// Runs actions one at a time, on the threads that post them.
///
/// Events of a request come from several threads: the caller's connection, the RPC client, timers.
/// A lock around the request would be held while hooks are called. Here the lock only protects the
/// queue, and an action posted from within a hook runs after the current one.
class serial_queue {
public:
    using action = std::function<auto()->void>;

    /// Runs `next`, or leaves it to the thread that is currently running an action. The caller must
    /// keep the queue alive during the call.
    auto post(action next) -> void
    {
        {
            const std::lock_guard guard(this->lock);
            this->waiting.push_back(std::move(next));
            if (this->running) {
                return;
            }
            this->running = true;
        }
        this->drain();
    }

private:
    auto drain() -> void
    {
        while (true) {
            action next;
            {
                const std::lock_guard guard(this->lock);
                if (this->waiting.empty()) {
                    this->running = false;
                    return;
                }
                next = std::move(this->waiting.front());
                this->waiting.pop_front();
            }
            next();
        }
    }

    std::mutex lock;
    std::deque<action> waiting;
    bool running = false;
};

} // namespace reedramp::entry
