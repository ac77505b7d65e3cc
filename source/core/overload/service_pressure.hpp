#pragma once

#include <chrono>

#include "common/units.hpp"

namespace reedramp::overload {

using common::time_point;

/// Load of a service over all of its usable servers, from the requests in flight of all entries.
struct service_view {
    /// Requests in flight relative to the servers' slots; 0 if the slots are unknown.
    double slots_used = 0.0;
    /// Tokens that requests in flight hold relative to the servers' memory; 0 if it is unknown.
    double memory_used = 0.0;
    /// Expected time for reading the prompts in flight at a server of mean speed and load, so about
    /// the wait of the next request for its first event.
    std::chrono::milliseconds reading_wait{0};
    /// Shortest target of the routes to the service; 0 if none has one.
    std::chrono::milliseconds shortest_target{0};
};

/// Returns how scarce the service's capacity is: 0 if there is room for all; 1 if the next request
/// waits about as long as the shortest target, or if all slots or all memory are in use.
auto pressure_of(const service_view& view) -> double;

/// Pressure of one service over time: rises at once, and falls with a time constant of half a
/// second. Entries whose views differ in age would otherwise all give way and all come back in the
/// same moment.
class pressure_gauge {
public:
    auto update(double pressure, time_point now) -> void;

    /// 0 before the first update.
    [[nodiscard]] auto level() const -> double { return this->current; }

private:
    double current = 0.0;
    time_point updated{};
};

} // namespace reedramp::overload
