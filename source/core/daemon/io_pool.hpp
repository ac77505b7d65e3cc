#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "common/hooks.hpp"

namespace boost::asio {
class io_context;
}

namespace reedramp::daemon {

/// A fixed number of threads, each of which runs one io_context.
class io_pool {
public:
    explicit io_pool(std::size_t thread_count);
    /// Stops and joins.
    ~io_pool();
    io_pool(const io_pool&) = delete;
    io_pool(io_pool&&) = delete;
    auto operator=(const io_pool&) -> io_pool& = delete;
    auto operator=(io_pool&&) -> io_pool& = delete;

    /// Starts the threads.
    auto start() -> void;

    /// Makes the threads return from their loops; what they still had to do is dropped. Joins
    /// unless called on one of them.
    auto stop() -> void;

    /// All contexts, one a thread.
    [[nodiscard]] auto contexts() const -> std::vector<boost::asio::io_context*>;

    /// One context, each in turn.
    auto next_context() -> boost::asio::io_context&;

    /// Timers of the decision clock. A timer that is set on one of the pool's threads fires on that
    /// thread; one from elsewhere fires on each thread in turn. A deadline that passed during a
    /// suspend fires at most a second after the host woke.
    auto timers() -> common::timer_hook;

    /// Runs `action` soon on one of the threads.
    auto post(std::function<auto()->void> action) -> void;

private:
    struct worker;

    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::thread> threads;
    std::atomic<std::size_t> turn{0};
};

} // namespace reedramp::daemon
