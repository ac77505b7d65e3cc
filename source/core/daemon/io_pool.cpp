#include "daemon/io_pool.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "daemon/clock.hpp"
#include "daemon/timer_queue.hpp"

namespace reedramp::daemon {

namespace {

/// An io_context whose pending handlers can be destroyed before the context is.
class droppable_context : public boost::asio::io_context {
public:
    droppable_context() : boost::asio::io_context(1) {}

    auto drop_handlers() -> void { this->shutdown(); }
};

} // namespace

struct io_pool::worker {
    worker()
        : guard(this->context.get_executor()),
          timers(std::make_shared<timer_queue>(this->context, boot_time))
    {
    }

    droppable_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::shared_ptr<timer_queue> timers;
};

namespace {

/// The timers of the pool's thread that runs this; null on others.
thread_local timer_queue* timers_of_this_thread = nullptr;

} // namespace

io_pool::io_pool(std::size_t thread_count)
{
    for (std::size_t count = 0; count < std::max<std::size_t>(thread_count, 1); count += 1) {
        this->workers.push_back(std::make_unique<worker>());
    }
}

io_pool::~io_pool()
{
    this->stop();
    // A pending handler of one context may own what uses another one: a timer's action owns an HTTP
    // client, whose end reaches into the client's context. If contexts went one by one, the last
    // handlers would reach into one that is gone, seen as a crash at the end of a graceful
    // shutdown. So all handlers go first, while all contexts are there.
    for (const auto& one : this->workers) {
        one->timers->clear();
        one->context.drop_handlers();
    }
}

auto io_pool::start() -> void
{
    for (const auto& one : this->workers) {
        this->threads.emplace_back([&part = *one] {
            timers_of_this_thread = part.timers.get();
            part.context.run();
        });
    }
}

auto io_pool::stop() -> void
{
    for (const auto& one : this->workers) {
        one->context.stop();
    }
    const auto self = std::this_thread::get_id();
    const bool on_own_thread = std::ranges::any_of(
        this->threads, [self](const std::thread& one) { return one.get_id() == self; });
    if (on_own_thread) {
        return;
    }
    for (auto& thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

auto io_pool::contexts() const -> std::vector<boost::asio::io_context*>
{
    std::vector<boost::asio::io_context*> all;
    for (const auto& one : this->workers) {
        all.push_back(&one->context);
    }
    return all;
}

auto io_pool::next_context() -> boost::asio::io_context&
{
    const auto number = this->turn.fetch_add(1, std::memory_order_relaxed);
    return this->workers[number % this->workers.size()]->context;
}

auto io_pool::timers() -> common::timer_hook
{
    return [this](common::time_point when, std::function<auto()->void> action) {
        if (timers_of_this_thread != nullptr) {
            timers_of_this_thread->add(when, std::move(action));
            return;
        }
        const auto number = this->turn.fetch_add(1, std::memory_order_relaxed);
        this->workers[number % this->workers.size()]->timers->add(when, std::move(action));
    };
}

auto io_pool::post(std::function<auto()->void> action) -> void
{
    boost::asio::post(this->next_context(), std::move(action));
}

} // namespace reedramp::daemon
