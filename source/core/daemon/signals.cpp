#include "daemon/signals.hpp"

#include <csignal>
#include <cstdlib>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

namespace reedramp::daemon {

namespace {

constexpr int interrupted_exit_code = 130;

} // namespace

struct shutdown_signals::state : std::enable_shared_from_this<state> {
    state(boost::asio::io_context& context, std::function<auto()->void> action_to_run)
        : signals(context, SIGTERM, SIGINT), action(std::move(action_to_run))
    {
    }

    auto wait() -> void
    {
        this->signals.async_wait(
            [keep = this->shared_from_this()](const boost::system::error_code& stopped, int) {
                if (stopped) {
                    return;
                }
                if (std::exchange(keep->asked_before, true)) {
                    std::_Exit(interrupted_exit_code);
                }
                keep->wait();
                keep->action();
            });
    }

    boost::asio::signal_set signals;
    std::function<auto()->void> action;
    bool asked_before = false;
};

shutdown_signals::shutdown_signals(
    boost::asio::io_context& context, std::function<auto()->void> action)
    : shared(std::make_shared<state>(context, std::move(action)))
{
    this->shared->wait();
}

shutdown_signals::~shutdown_signals()
{
    boost::asio::post(this->shared->signals.get_executor(), [keep = this->shared] {
        boost::system::error_code ignored;
        keep->signals.cancel(ignored);
    });
}

struct reload_signal::state : std::enable_shared_from_this<state> {
    state(boost::asio::io_context& context, std::function<auto()->void> action_to_run)
        : signals(context, SIGHUP), action(std::move(action_to_run))
    {
    }

    auto wait() -> void
    {
        this->signals.async_wait(
            [keep = this->shared_from_this()](const boost::system::error_code& stopped, int) {
                if (stopped) {
                    return;
                }
                keep->wait();
                keep->action();
            });
    }

    boost::asio::signal_set signals;
    std::function<auto()->void> action;
};

reload_signal::reload_signal(boost::asio::io_context& context, std::function<auto()->void> action)
    : shared(std::make_shared<state>(context, std::move(action)))
{
    this->shared->wait();
}

reload_signal::~reload_signal()
{
    boost::asio::post(this->shared->signals.get_executor(), [keep = this->shared] {
        boost::system::error_code ignored;
        keep->signals.cancel(ignored);
    });
}

} // namespace reedramp::daemon
