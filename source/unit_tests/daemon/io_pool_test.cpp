#include <atomic>
#include <csignal>
#include <future>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "daemon/clock.hpp"
#include "daemon/io_pool.hpp"
#include "daemon/signals.hpp"
#include "daemon/timer_queue.hpp"

using namespace reedramp;
using namespace reedramp::daemon;
using namespace std::chrono_literals;

TEST_CASE("timers run in the order of their times, however they were set")
{
    boost::asio::io_context context{1};
    common::time_point now{};
    const auto timers = std::make_shared<timer_queue>(context, [&now] { return now; });
    std::string order;
    timers->add(common::time_point{2ms}, [&order] { order += "b"; });
    timers->add(common::time_point{1ms}, [&order, &timers] {
        order += "a";
        timers->add(common::time_point{2ms}, [&order] { order += "c"; });
    });
    timers->add(common::time_point{10h}, [&order] { order += "z"; });
    now = common::time_point{5ms};
    context.run_for(200ms);
    CHECK(order == "abc");
}

// What the caller sees: a lease's deadline passes while the host is suspended. Asio's clock has
// stood still, so that a timer for the whole wait would fire late by the length of the suspend. The
// queue looks at the decision clock at least once a second, and so finds the deadline.
TEST_CASE("a deadline that passed during a suspend is found when the host wakes")
{
    boost::asio::io_context context{1};
    std::atomic<common::time_point> now{common::time_point{}};
    const auto timers = std::make_shared<timer_queue>(context, [&now] { return now.load(); });
    bool fired = false;
    timers->add(common::time_point{1h}, [&fired, &context] {
        fired = true;
        context.stop();
    });
    context.run_for(10ms);
    CHECK_FALSE(fired);
    now = common::time_point{2h};
    context.run_for(5s);
    CHECK(fired);
}

TEST_CASE("a pool's timer fires on the thread that set it, and not before its time")
{
    io_pool pool{3};
    pool.start();
    std::promise<bool> same_thread;
    const auto timers = pool.timers();
    pool.post([&same_thread, &timers] {
        const auto here = std::this_thread::get_id();
        const auto when = boot_time() + 5ms;
        timers(when, [&same_thread, here, when] {
            same_thread.set_value(here == std::this_thread::get_id() && boot_time() >= when);
        });
    });
    CHECK(same_thread.get_future().get());
}

TEST_CASE("a signal asks for a graceful shutdown")
{
    boost::asio::io_context context{1};
    int asked = 0;
    const shutdown_signals signals{context, [&asked, &context] {
                                       asked += 1;
                                       context.stop();
                                   }};
    std::raise(SIGTERM);
    context.run_for(5s);
    CHECK(asked == 1);
}

TEST_CASE("random bits differ between calls and threads")
{
    auto other = std::async(std::launch::async, [] { return random_bits(); });
    const auto first = random_bits();
    CHECK(first != random_bits());
    CHECK(first != other.get());
}

namespace {

/// Reaches into a context when it ends, as an HTTP client does to close its idle connections.
struct reaches_out {
    explicit reaches_out(boost::asio::io_context& other) : target(other) {}

    ~reaches_out()
    {
        boost::asio::post(this->target, [] {});
    }

    reaches_out(const reaches_out&) = delete;
    reaches_out(reaches_out&&) = delete;
    auto operator=(const reaches_out&) -> reaches_out& = delete;
    auto operator=(reaches_out&&) -> reaches_out& = delete;

    boost::asio::io_context& target;
};

} // namespace

// What the operator sees: a daemon that has cut no request crashes as the last step of a graceful
// shutdown. A timer and a handler that never ran are destroyed with their context, and own what
// uses the pool's other contexts. All must go while all contexts are there.
TEST_CASE("work that never ran may own what uses other contexts of the pool")
{
    for (int round = 0; round < 50; ++round) {
        io_pool pool(3);
        const auto contexts = pool.contexts();
        for (auto* from : contexts) {
            for (auto* to : contexts) {
                auto owned = std::make_shared<reaches_out>(*to);
                boost::asio::post(*from, [owned] {});
                pool.timers()(common::never, [owned = std::move(owned)] {});
            }
        }
    }
}
