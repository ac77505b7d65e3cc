#pragma once

#include <optional>

#include "common/hooks.hpp"

namespace reedramp::daemon {

/// Detects that the process stood still, because it was stopped, its host was suspended, or it got
/// no processor time: a call that is made periodically is late.
class stall_monitor {
public:
    stall_monitor(common::clock_hook clock, common::duration period);

    /// To be called once a period. Returns how late the call is if that is a stall.
    auto tick() -> std::optional<common::duration>;

private:
    common::clock_hook clock;
    common::duration period;
    /// `never` before the first call.
    common::time_point due = common::never;
};

} // namespace reedramp::daemon
