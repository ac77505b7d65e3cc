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

/// An action scheduled on the virtual clock. Events with the same time run in the order in which
/// they were scheduled.
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
    std::vector<std::size_t> attempted;
    std::size_t server = 0;
    std::size_t probe_rounds = 0;
    bool done = false;
};

/// State of one entry. Holds only what a real entry can observe, never the simulation's true
/// values.
struct entry_state {
    placement::probe_pool pool;
    placement::retry_budget budget;
    std::vector<std::size_t> next_round_robin;
    /// Requests sent to each server since its last report.
    std::vector<std::uint32_t> sent;
};

} // namespace reedramp::bench
