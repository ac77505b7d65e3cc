#pragma once

#include <mutex>

#include "common/units.hpp"
#include "membership/view.hpp"

namespace reedramp::membership {

struct readiness_settings {
    /// How long an entry that has a configuration waits for servers missing from the list of hosts.
    common::duration server_wait = std::chrono::seconds(3);
};

/// Decides when a starting entry knows enough backend servers to receive requests.
///
/// The servers' addresses come only from the list of hosts. An entry that reports ready before it
/// has read the list would refuse each request with `no_capacity` although other entries could
/// serve it, so it is not ready before the first read. The list lags, so the first read may lack
/// servers. The entry waits for them only for `server_wait`, since a server that no longer exists
/// may still be in the inventory. A ready entry stays ready: if the list is unavailable later, the
/// last one remains in force.
///
/// Thread-safe.
class readiness {
public:
    explicit readiness(readiness_settings wanted = {}) : settings(wanted) {}

    /// Evaluates the current state and returns whether the entry is ready. Call it for each
    /// readiness check.
    auto update(bool has_configuration, const server_coverage& coverage, common::time_point now)
        -> bool;

private:
    readiness_settings settings;
    std::mutex lock;
    bool is_ready = false;
    /// End of the wait for missing servers; `never` before it has started.
    common::time_point wait_ends_at = common::never;
};

} // namespace reedramp::membership
