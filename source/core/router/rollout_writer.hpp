#pragma once

#include <memory>

#include "router/router_core.hpp"

namespace reedramp::router {

/// Writes the states of roll-outs to the store when they are due.
///
/// Each entry may write. The store takes a state only if nothing was written since the writer last
/// read, so of two entries that disagree one reads the other's word first, and follows it: an end
/// that the store holds is never changed.
class rollout_writer : public std::enable_shared_from_this<rollout_writer> {
public:
    /// `rank` gives this entry's place among all; the entry with place 0 writes at once, each
    /// further one waits that much longer, so that as a rule one call is made.
    rollout_writer(
        std::shared_ptr<router_core> core,
        shared_store store,
        std::function<auto()->std::size_t> rank);

    /// Call it some times a second.
    auto tick() -> void;

private:
    auto read_then_write() -> void;
    auto write(stream_position at) -> void;

    std::shared_ptr<router_core> core;
    shared_store store;
    std::function<auto()->std::size_t> rank;
    /// Since when something has been due; `never` while nothing is.
    time_point due_since = common::never;
    time_point next_try{};
    bool is_busy = false;
};

} // namespace reedramp::router
