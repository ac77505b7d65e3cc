#include "overload/service_pressure.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::overload {

namespace {

/// Use of slots or memory from which it counts as pressure. Below it, a request finds a free slot
/// at nearly every server, even if the load is uneven.
constexpr double unnoticed_use = 0.85;

/// 0 up to `unnoticed_use`, 1 if all is in use, and more if more requests are in flight.
auto pressure_of_use(double used) -> double
{
    return std::max(0.0, (used - unnoticed_use) / (1.0 - unnoticed_use));
}

} // namespace

auto pressure_of(const service_view& view) -> double
{
    const auto by_wait = view.shortest_target.count() > 0
                             ? static_cast<double>(view.reading_wait.count()) /
                                   static_cast<double>(view.shortest_target.count())
                             : 0.0;
    return std::max({by_wait, pressure_of_use(view.slots_used), pressure_of_use(view.memory_used)});
}

auto pressure_gauge::update(double pressure, time_point now) -> void
{
    constexpr std::chrono::duration<double> time_constant{0.5};
    const std::chrono::duration<double> passed = now - this->updated;
    const auto kept = std::exp(-std::max(passed, decltype(passed)::zero()) / time_constant);
    this->current = std::max(pressure, pressure + (this->current - pressure) * kept);
    this->updated = now;
}

} // namespace reedramp::overload
