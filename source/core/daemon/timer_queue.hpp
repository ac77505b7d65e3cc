#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <queue>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/hooks.hpp"

namespace reedramp::daemon {

/// Timers of the decision clock on one io_context. One Asio timer serves all of them, so that a
/// deadline costs a place in a heap.
///
/// Asio's clock stops while the host is suspended and the decision clock does not. The Asio timer
/// therefore never waits longer than a second: a deadline that passed during a suspend would else
/// be found late by the length of the suspend, and a lapsed lease with it.
class timer_queue : public std::enable_shared_from_this<timer_queue> {
public:
    timer_queue(boost::asio::io_context& context, common::clock_hook clock);

    /// From any thread.
    auto add(common::time_point when, std::function<auto()->void> action) -> void;

    /// Destroys all actions that have not run, and those that they add by being destroyed.
    auto clear() -> void;

private:
    struct entry {
        common::time_point when;
        /// Entries of the same time run in the order in which they were added.
        std::uint64_t number = 0;
        std::function<auto()->void> action;
    };

    struct later {
        auto operator()(const entry& left, const entry& right) const -> bool
        {
            return std::tie(left.when, left.number) > std::tie(right.when, right.number);
        }
    };

    auto arm() -> void;
    auto run_due() -> void;
    auto take_due() -> std::vector<std::function<auto()->void>>;

    boost::asio::io_context& context;
    common::clock_hook clock;
    boost::asio::steady_timer timer;

    std::mutex lock;
    std::priority_queue<entry, std::vector<entry>, later> entries;
    std::uint64_t added = 0;
    /// The Asio timer fires at this time or earlier; `never` when it is not armed.
    common::time_point armed_until = common::never;
};

} // namespace reedramp::daemon
