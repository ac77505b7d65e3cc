#pragma once

#include <mutex>

#include "common/units.hpp"
#include "membership/view.hpp"

namespace reedramp::membership {

struct readiness_settings {
    /// How long an entry with a configuration waits for servers that the list does not show yet.
    common::duration settle = std::chrono::seconds(3);
};

/// Whether a starting entry knows its backend servers well enough to be sent requests.
///
/// Addresses come from the list of hosts alone. An entry that says it is ready before it has read
/// the list refuses each request with `no_capacity`, while others could have served it; so without
/// one reading it is never ready. The list lags, so the first reading may lack servers; the entry
/// waits for them, but not for ever, since a server that is gone stays in the inventory. Once
/// ready it stays so: when the list is down later, what it said last still holds.
///
/// Thread-safe.
class readiness {
public:
    explicit readiness(readiness_settings wanted = {}) : settings(wanted) {}

    /// Looks again; call it whenever the answer is wanted.
    auto update(bool has_configuration, const server_coverage& seen, common::time_point now)
        -> bool;

private:
    readiness_settings settings;
    std::mutex lock;
    bool is_ready = false;
    common::time_point settled_at = common::never;
};

} // namespace reedramp::membership
