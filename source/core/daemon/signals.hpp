#pragma once

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace reedramp::daemon {

/// Waits for signals on a context; shared with the wait that is under way.
class signal_waiter;

/// Keeps SIGHUP pending until a `reload_signal` waits for it. Without it, settings that change
/// while the process starts would end it. Call it first in `main`, before other threads start.
auto hold_reload_signal() -> void;

/// Lets a write to a pipe fail whose reader has gone, such as the one of the log. The signal's
/// default ends the process.
auto ignore_broken_pipes() -> void;

/// Waits for SIGTERM and SIGINT while it lives.
class shutdown_signals {
public:
    /// `action` runs on the context at the first signal. A second SIGINT ends the process at once
    /// with exit code 130, for an operator who does not want to wait for streams to finish. Further
    /// SIGTERMs change nothing: who stops processes may send it again while requests finish.
    shutdown_signals(boost::asio::io_context& context, std::function<auto()->void> action);
    ~shutdown_signals();
    shutdown_signals(const shutdown_signals&) = delete;
    shutdown_signals(shutdown_signals&&) = delete;
    auto operator=(const shutdown_signals&) -> shutdown_signals& = delete;
    auto operator=(shutdown_signals&&) -> shutdown_signals& = delete;

private:
    std::shared_ptr<signal_waiter> waiter;
};

/// Waits for SIGHUP while it lives, and for one that `hold_reload_signal` has kept pending. Holds
/// it again at its end.
class reload_signal {
public:
    /// `action` runs on the context at each signal.
    reload_signal(boost::asio::io_context& context, std::function<auto()->void> action);
    ~reload_signal();
    reload_signal(const reload_signal&) = delete;
    reload_signal(reload_signal&&) = delete;
    auto operator=(const reload_signal&) -> reload_signal& = delete;
    auto operator=(reload_signal&&) -> reload_signal& = delete;

private:
    std::shared_ptr<signal_waiter> waiter;
};

} // namespace reedramp::daemon
