#pragma once

#include <cstdint>
#include <functional>

namespace reedramp::daemon {

/// Runs `action`. An exception that leaves it is logged and counted: one request, record or
/// datagram that is not handled must not end all others.
auto run_guarded(const std::function<auto()->void>& action) -> void;

/// Exceptions so far. Each is a defect.
auto handler_failures() -> std::uint64_t;

} // namespace reedramp::daemon
