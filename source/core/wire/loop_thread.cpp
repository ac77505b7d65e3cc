#include "wire/loop_thread.hpp"

#include <string>

#include <kj/exception.h>

#include "common/log.hpp"

namespace reedramp::wire {

namespace {

/// A task that throws must not end the loop, which all connections share.
auto run_safely(const task_queue::task& action) -> void
{
    auto thrown = kj::runCatchingExceptions([&action] { action(); });
    if (thrown != nullptr) {
        common::log(common::log_part::wire, common::log_level::error, "task failed");
    }
}

} // namespace

auto task_queue::post(task action) -> bool
{
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> ring;
    {
        const std::lock_guard guard(this->lock);
        if (!this->open) {
            return false;
        }
        this->waiting.push_back(std::move(action));
        ring = kj::mv(this->bell);
    }
    if (ring.get() != nullptr) {
        ring->fulfill();
    }
    return true;
}

auto task_queue::serve() -> kj::Promise<void>
{
    auto wakeup = kj::newPromiseAndCrossThreadFulfiller<void>();
    {
        const std::lock_guard guard(this->lock);
        if (this->waiting.empty()) {
            this->bell = kj::mv(wakeup.fulfiller);
        }
    }
    if (wakeup.fulfiller.get() != nullptr) {
        // Tasks came while others ran. The bell goes through the loop's poll of the sockets, so
        // that a steady stream of tasks cannot starve them.
        wakeup.fulfiller->fulfill();
    }
    return wakeup.promise.then([this] {
        this->run_waiting();
        return this->serve();
    });
}

auto task_queue::run_waiting() -> void
{
    std::vector<task> taken;
    {
        const std::lock_guard guard(this->lock);
        taken.swap(this->waiting);
    }
    for (auto& action : taken) {
        run_safely(action);
        // What the task holds goes now, not after all the others.
        action = nullptr;
    }
}

auto task_queue::close() -> void
{
    while (true) {
        this->run_waiting();
        const std::lock_guard guard(this->lock);
        if (this->waiting.empty()) {
            this->open = false;
            this->bell = nullptr;
            return;
        }
    }
}

loop_thread::loop_thread()
{
    std::promise<void> started;
    auto ready = started.get_future();
    this->thread =
        std::thread([this, moved = std::move(started)]() mutable { this->main(std::move(moved)); });
    ready.get();
}

loop_thread::~loop_thread()
{
    this->tasks->post([this] { this->stop->fulfill(); });
    this->thread.join();
}

auto loop_thread::main(std::promise<void> started) -> void
{
    auto context = kj::setupAsyncIo();
    this->provider = context.provider.get();
    auto stopping = kj::newPromiseAndFulfiller<void>();
    this->stop = kj::mv(stopping.fulfiller);
    auto serving = this->tasks->serve().eagerlyEvaluate(nullptr);
    started.set_value();
    stopping.promise.wait(context.waitScope);
    this->tasks->close();
    this->stop = nullptr;
}

} // namespace reedramp::wire
