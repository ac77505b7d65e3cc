#include "daemon/signals.hpp"

#include <csignal>
#include <cstdlib>
#include <initializer_list>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

namespace reedramp::daemon {

namespace {

constexpr int interrupted_exit_code = 130;

/// `how` is SIG_BLOCK or SIG_UNBLOCK.
auto change_mask(int how, std::initializer_list<int> numbers) -> void
{
    sigset_t set{};
    ::sigemptyset(&set);
    for (const int number : numbers) {
        ::sigaddset(&set, number);
    }
    ::pthread_sigmask(how, &set, nullptr);
}

} // namespace

class signal_waiter : public std::enable_shared_from_this<signal_waiter> {
public:
    /// `action` runs on the context at each of the signals.
    static auto start(
        boost::asio::io_context& context,
        std::initializer_list<int> numbers,
        std::function<auto(int number)->void> action) -> std::shared_ptr<signal_waiter>
    {
        auto made = std::make_shared<signal_waiter>(context, std::move(action));
        for (const int number : numbers) {
            made->signals.add(number);
        }
        made->wait();
        // They may be held, also by whoever started this process.
        change_mask(SIG_UNBLOCK, numbers);
        return made;
    }

    signal_waiter(
        boost::asio::io_context& context, std::function<auto(int number)->void> action_to_run)
        : signals(context), action(std::move(action_to_run))
    {
    }

    /// From any thread.
    auto stop() -> void
    {
        boost::asio::post(this->signals.get_executor(), [keep = this->shared_from_this()] {
            boost::system::error_code ignored;
            keep->signals.cancel(ignored);
        });
    }

private:
    auto wait() -> void
    {
        this->signals.async_wait([keep = this->shared_from_this()](
                                     const boost::system::error_code& stopped, int number) {
            if (!stopped) {
                keep->wait();
                keep->action(number);
            }
        });
    }

    boost::asio::signal_set signals;
    std::function<auto(int number)->void> action;
};

auto hold_reload_signal() -> void
{
    change_mask(SIG_BLOCK, {SIGHUP});
}

auto ignore_broken_pipes() -> void
{
    std::signal(SIGPIPE, SIG_IGN);
}

shutdown_signals::shutdown_signals(
    boost::asio::io_context& context, std::function<auto()->void> action)
    : waiter(signal_waiter::start(
          context,
          {SIGTERM, SIGINT},
          [action = std::move(action), asked_before = false](int number) mutable {
              const bool is_first = !std::exchange(asked_before, true);
              if (is_first) {
                  action();
              }
              else if (number == SIGINT) {
                  std::_Exit(interrupted_exit_code);
              }
          }))
{
}

shutdown_signals::~shutdown_signals()
{
    this->waiter->stop();
}

reload_signal::reload_signal(boost::asio::io_context& context, std::function<auto()->void> action)
    : waiter(
          signal_waiter::start(context, {SIGHUP}, [action = std::move(action)](int) { action(); }))
{
}

reload_signal::~reload_signal()
{
    hold_reload_signal();
    this->waiter->stop();
}

} // namespace reedramp::daemon
