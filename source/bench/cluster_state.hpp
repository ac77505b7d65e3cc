#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

#include "common/units.hpp"
#include "placement/probe_pool.hpp"
#include "placement/retry_budget.hpp"
#include "workload.hpp"

namespace reedramp::bench {

/// Something that happens at one time of the virtual clock; of two at one time, the first asked for
/// comes first.
struct event {
    common::time_point at;
    std::size_t order = 0;
    std::function<auto()->void> action;

    auto operator>(const event& other) const -> bool
    {
        return std::pair(this->at, this->order) > std::pair(other.at, other.order);
    }
};

struct job_state {
    job item;
    std::vector<std::size_t> tried;
    std::size_t server = 0;
    std::size_t rounds = 0;
    bool done = false;
};

/// What one entry knows; no field holds a truth.
struct entry_state {
    placement::probe_pool pool;
    placement::retry_budget budget;
    std::vector<std::size_t> next_in_turn;
    /// Requests sent to each server since its last report.
    std::vector<std::uint32_t> sent;
};

} // namespace reedramp::bench
