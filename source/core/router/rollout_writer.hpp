#pragma once

#include <memory>

#include "router/router_core.hpp"

namespace reedramp::router {

/// Writes the states of roll-outs to the store when they are due.
///
/// Every entry may write. The store accepts a state only if nothing was written since the writer
/// last read, so of two entries that disagree one reads the other's state first and follows it. A
/// final state in the store is never changed.
class rollout_writer : public std::enable_shared_from_this<rollout_writer> {
public:
    /// `rank` returns this entry's rank among all. The entry of rank 0 writes at once, and each
    /// further one waits one more delay, so that usually one call is made.
    rollout_writer(
        std::shared_ptr<router_core> core,
        shared_store store,
        std::function<auto()->std::size_t> rank);

    /// Writes a due state. Call it several times a second.
    auto tick() -> void;

private:
    auto read_then_write() -> void;
    auto write(stream_position at) -> void;

    std::shared_ptr<router_core> core;
    shared_store store;
    std::function<auto()->std::size_t> rank;
    /// Since when a state has been due; `never` if none is.
    time_point due_since = common::never;
    time_point next_try{};
    bool is_busy = false;
};

} // namespace reedramp::router
