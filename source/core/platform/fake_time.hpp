#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "common/hooks.hpp"
#include "common/units.hpp"

namespace reedramp::platform {

/// A virtual clock with timers for tests: time passes only in `run_until`. One thread only.
class fake_time {
public:
    fake_time() = default;

    explicit fake_time(common::time_point start) : current(start) {}

    fake_time(const fake_time&) = delete;
    auto operator=(const fake_time&) -> fake_time& = delete;

    [[nodiscard]] auto now() const -> common::time_point { return this->current; }

    /// The hooks refer to this object, which has to outlive them.
    auto clock() -> common::clock_hook;
    auto timers() -> common::timer_hook;

    auto at(common::time_point when, std::function<auto()->void> action) -> void;

    /// Runs all timers up to and including `end` in order of time, those of one time in the order
    /// in which they were asked for, also the ones that they ask for; then the clock shows `end`.
    auto run_until(common::time_point end) -> void;

    auto run_for(common::duration span) -> void { this->run_until(this->current + span); }

    /// Runs what is due now.
    auto run_due() -> void { this->run_until(this->current); }

    /// Timers that wait.
    [[nodiscard]] auto waiting() const -> std::size_t { return this->queue.size(); }

private:
    using order = std::pair<common::time_point, std::uint64_t>;

    common::time_point current{};
    std::uint64_t asked = 0;
    std::map<order, std::function<auto()->void>> queue;
};

} // namespace reedramp::platform
