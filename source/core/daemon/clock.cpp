#include "daemon/clock.hpp"

#include <chrono>
#include <random>

#include <time.h>

namespace reedramp::daemon {

namespace {

auto seeded_generator() -> std::mt19937_64
{
    std::random_device device;
    std::seed_seq seed{
        device(), device(), device(), device(), device(), device(), device(), device()};
    return std::mt19937_64{seed};
}

} // namespace

auto boot_time() -> common::time_point
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return common::time_point{
        std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec}};
}

auto wall_time() -> common::wall_time_ms
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return common::wall_time_ms{std::chrono::duration_cast<std::chrono::milliseconds>(now).count()};
}

auto random_bits() -> std::uint64_t
{
    static thread_local std::mt19937_64 generator = seeded_generator();
    return generator();
}

} // namespace reedramp::daemon
