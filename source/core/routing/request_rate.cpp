#include "routing/request_rate.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace reedramp::routing {

namespace {

/// Time constant of the average; at 10 requests per second the error is about a fifth.
constexpr double rate_memory_s = 3.0;

} // namespace

auto request_rate::note(time_point now) -> void
{
    this->count = this->per_second(now) * rate_memory_s + 1.0;
    this->counted_at = now;
}

auto request_rate::per_second(time_point now) const -> double
{
    const auto passed = std::chrono::duration<double>(now - this->counted_at).count();
    return this->count * std::exp(-std::max(passed, 0.0) / rate_memory_s) / rate_memory_s;
}

} // namespace reedramp::routing
