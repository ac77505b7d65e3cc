#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "common/hooks.hpp"
#include "common/units.hpp"

namespace reedramp::platform {

/// A virtual clock with timers for tests. Time advances only in `run_until`. Not thread-safe.
class fake_time {
public:
    fake_time() = default;

    explicit fake_time(common::time_point start) : current(start) {}

    fake_time(const fake_time&) = delete;
    auto operator=(const fake_time&) -> fake_time& = delete;

    [[nodiscard]] auto now() const -> common::time_point { return this->current; }

    /// The returned hooks refer to this object, which has to outlive them.
    auto clock() -> common::clock_hook;
    auto timers() -> common::timer_hook;

    auto at(common::time_point when, std::function<auto()->void> action) -> void;

    /// Runs all timers that are due up to and including `end`, including those that are added
    /// meanwhile, in order of their time and, for equal times, in the order in which they were
    /// added. Then sets the clock to `end`.
    auto run_until(common::time_point end) -> void;

    auto run_for(common::duration span) -> void { this->run_until(this->current + span); }

    /// Runs the timers that are due now.
    auto run_due() -> void { this->run_until(this->current); }

    /// Number of timers that have not run yet.
    [[nodiscard]] auto pending_timers() const -> std::size_t { return this->queue.size(); }

private:
    using order = std::pair<common::time_point, std::uint64_t>;

    common::time_point current{};
    std::uint64_t next_sequence = 0;
    std::map<order, std::function<auto()->void>> queue;
};

} // namespace reedramp::platform
