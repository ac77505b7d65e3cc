#pragma once

#include "common/hooks.hpp"

/// What a program needs around the cores: clocks, chance, threads, timers, signals, logs and the
/// command line.
namespace reedramp::daemon {

/// The decision clock on CLOCK_BOOTTIME, which goes on while the host is suspended.
auto boot_time() -> common::time_point;

/// Milliseconds since 1970.
auto wall_time() -> common::wall_time_ms;

/// 64 random bits from a generator of this thread, seeded by the operating system.
auto random_bits() -> std::uint64_t;

} // namespace reedramp::daemon
