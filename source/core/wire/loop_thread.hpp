#pragma once

#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <type_traits>
#include <utility>
#include <vector>

#include <kj/async-io.h>

/// The one place where threads cross into a kj event loop.
///
/// kj's objects (promises, capabilities, sockets) belong to the thread of their loop: no other
/// thread may call, copy or destroy them. What another thread wants done goes as a task through
/// `task_queue`; what has such objects in it, and is shared with other threads, is made by
/// `make_loop_owned`. Nothing crosses the other way: answers and events are handed out on the
/// loop's thread, to hooks that do not block.
namespace reedramp::wire {

/// Tasks for one loop, from any thread.
///
/// A wakeup of a sleeping loop costs a system call on both sides. So only the first task since the
/// loop last looked wakes it, and the loop takes all that have gathered at once: the busier it is,
/// the fewer wakeups there are for a task. Values cross under `lock` alone; kj's fulfiller is only
/// the bell.
class task_queue {
public:
    using task = std::function<auto()->void>;

    /// Runs `action` on the loop's thread, after all that were posted before it. False, with
    /// nothing done, once the loop has ended. Any thread.
    auto post(task action) -> bool;

private:
    friend class loop_thread;

    /// Runs what is posted as long as the promise is kept.
    auto serve() -> kj::Promise<void>;

    /// Runs what is left, then takes no more.
    auto close() -> void;

    auto run_waiting() -> void;

    std::mutex lock;
    std::vector<task> waiting;
    /// Set while the loop sleeps.
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> bell;
    bool open = true;
};

/// A thread that runs a kj event loop until it is destroyed.
class loop_thread {
public:
    loop_thread();
    loop_thread(const loop_thread&) = delete;
    auto operator=(const loop_thread&) -> loop_thread& = delete;

    /// Ends the loop after the tasks that are already posted, and joins the thread.
    ~loop_thread();

    [[nodiscard]] auto queue() const -> const std::shared_ptr<task_queue>& { return this->tasks; }

    /// Sockets and timers of the loop; only for its own thread.
    [[nodiscard]] auto io() const -> kj::AsyncIoProvider& { return *this->provider; }

    /// Runs `action` on the loop's thread and waits for what it returns. Not for the loop's thread.
    template <typename Action>
    auto run(Action action) -> std::invoke_result_t<Action>
    {
        std::packaged_task<std::invoke_result_t<Action>()> job(std::move(action));
        auto done = job.get_future();
        this->tasks->post([&job] { job(); });
        return done.get();
    }

private:
    auto main(std::promise<void> started) -> void;

    std::shared_ptr<task_queue> tasks = std::make_shared<task_queue>();
    kj::AsyncIoProvider* provider = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> stop;
    std::thread thread;
};

/// A shared object whose destructor runs on the thread of `queue`'s loop, whoever drops it last.
template <typename Item, typename... Arguments>
auto make_loop_owned(const std::shared_ptr<task_queue>& queue, Arguments&&... arguments)
    -> std::shared_ptr<Item>
{
    auto destroy = [queue](Item* item) {
        // Once the loop has ended no other thread touches its objects, so this one may.
        if (!queue->post([item] { delete item; })) {
            delete item;
        }
    };
    return {new Item(std::forward<Arguments>(arguments)...), destroy};
}

} // namespace reedramp::wire
