#pragma once

#include <cstdint>
#include <mutex>

#include "common/units.hpp"

namespace reedramp::control {

struct checkpointer_settings {
    /// Entries append in the order of their rank, this far apart, so that as a rule one does.
    common::duration rank_delay = std::chrono::seconds(5);
    /// Least time between two tries of one entry. What was appended is read back long before.
    common::duration retry_after = std::chrono::seconds(30);
};

/// When this entry appends a checkpoint of the configuration. Every entry runs one; none is in
/// charge: when the first one by rank is lost, the next takes its turn. A second checkpoint is
/// harmless, and one whose answer was lost counts when it is read, since the due ends with it.
///
/// Thread-safe.
class checkpointer {
public:
    explicit checkpointer(checkpointer_settings wanted = {}) : settings(wanted) {}

    /// Whether to append now. `is_due` is `inventory::follower::checkpoint_due()`, `rank` the
    /// entry's place, from 0, in an order that all entries agree on.
    auto should_append(bool is_due, std::uint32_t rank, common::time_point now) -> bool;

private:
    checkpointer_settings settings;
    std::mutex lock;
    /// `never` while none is due.
    common::time_point due_since = common::never;
    common::time_point not_before{};
};

} // namespace reedramp::control
