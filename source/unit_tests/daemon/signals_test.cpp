#include <csignal>
#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "daemon/guarded_run.hpp"
#include "daemon/signals.hpp"
#include "daemon/timer_queue.hpp"

using namespace reedramp;
using namespace reedramp::daemon;
using namespace std::chrono_literals;

// Guards against a process that ends since its settings change while it starts or stops.
TEST_CASE("changed settings that are announced before a process waits for them are read")
{
    hold_reload_signal();
    boost::asio::io_context context{1};
    int reloads = 0;
    std::raise(SIGHUP);
    {
        const reload_signal signal{context, [&] {
                                       reloads += 1;
                                       context.stop();
                                   }};
        context.run_for(5s);
    }
    CHECK(reloads == 1);
    std::raise(SIGHUP);
}

// Guards against a stop that cuts requests since it is asked for twice.
TEST_CASE("a second signal to stop changes nothing")
{
    boost::asio::io_context context{1};
    int asked = 0;
    const shutdown_signals signals{context, [&asked] {
                                       asked += 1;
                                   }};
    std::raise(SIGTERM);
    context.run_for(50ms);
    std::raise(SIGTERM);
    context.run_for(50ms);
    CHECK(asked == 1);
}

// Guards against a process that goes on without its timers since the action of one has failed.
TEST_CASE("a timer whose action fails leaves the others")
{
    boost::asio::io_context context{1};
    common::time_point now{};
    const auto timers = std::make_shared<timer_queue>(context, [&now] { return now; });
    std::string order;
    const auto failures = handler_failures();
    timers->add(common::time_point{1ms}, [] { throw std::runtime_error("odd"); });
    timers->add(common::time_point{1ms}, [&order] { order += "a"; });
    timers->add(common::time_point{2ms}, [&] {
        order += "b";
        timers->add(common::time_point{3ms}, [&order] { order += "c"; });
    });
    now = common::time_point{2ms};
    context.run_for(50ms);
    now = common::time_point{5ms};
    context.restart();
    context.run_for(50ms);
    CHECK(order == "abc");
    CHECK(handler_failures() == failures + 1);
}
