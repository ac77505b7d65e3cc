#include "daemon/guarded_run.hpp"

#include <atomic>
#include <exception>
#include <string>

#include "common/log.hpp"

namespace reedramp::daemon {

namespace {

std::atomic<std::uint64_t> failures{0};

} // namespace

auto run_guarded(const std::function<auto()->void>& action) -> void
{
    try {
        action();
    }
    catch (const std::exception& problem) {
        failures += 1;
        common::log(
            common::log_part::entry,
            common::log_level::error,
            std::string{"handler failed what="} + problem.what());
    }
}

auto handler_failures() -> std::uint64_t
{
    return failures;
}

} // namespace reedramp::daemon
