#pragma once

#include <cstdint>
#include <mutex>

#include "common/units.hpp"

namespace reedramp::control {

struct checkpointer_settings {
    /// Delay per rank before an entry appends, so that normally only the first one does.
    common::duration rank_delay = std::chrono::seconds(5);
    /// Minimum time between two attempts of one entry; far longer than it takes to read an appended
    /// checkpoint back.
    common::duration retry_after = std::chrono::seconds(30);
};

/// Decides when this entry appends a checkpoint of the configuration. Every entry runs one and no
/// entry is the leader: if the entry of the lowest rank is down, the next one appends. A duplicate
/// checkpoint is harmless. If the response to an append is lost, the checkpoint still counts once
/// it is read back, because then none is due any more.
///
/// Thread-safe.
class checkpointer {
public:
    explicit checkpointer(checkpointer_settings wanted = {}) : settings(wanted) {}

    /// Whether to append now. `is_due` is the result of `inventory::follower::checkpoint_due()`;
    /// `rank` is the entry's position, from 0, in an order that all entries agree on.
    auto should_append(bool is_due, std::uint32_t rank, common::time_point now) -> bool;

private:
    checkpointer_settings settings;
    std::mutex lock;
    /// When a checkpoint became due; `never` while none is due.
    common::time_point due_since = common::never;
    /// Earliest time of the next attempt.
    common::time_point not_before{};
};

} // namespace reedramp::control
