#include <algorithm>
#include <string>
#include <utility>

#include "common/log.hpp"
#include "daemon/clock.hpp"
#include "process_implementation.hpp"

/// Part of `router_process` that ends it: from SIGTERM until the last response is out.
namespace reedramp::router_program {

using common::log_level;
using common::log_part;

namespace {

/// Time before the end of the grace at which the process ends itself, before it is killed.
constexpr milliseconds kill_margin{400};
/// Part of that time in which the last responses are transmitted.
constexpr milliseconds last_response_time{150};
constexpr milliseconds shutdown_check{50};

} // namespace

auto router_process::implementation::shut_down() -> void
{
    if (std::exchange(this->is_leaving, true)) {
        return;
    }
    common::log(
        log_part::entry,
        log_level::info,
        "shutting down under_way=" + std::to_string(this->core->in_flight()));
    this->callers_server->announce_close();
    const auto now = daemon::boot_time();
    const auto balancer_done = now + this->settings.balancer_time;
    const auto last = std::max(balancer_done, now + this->settings.grace - kill_margin);
    this->core->announce_end(last, balancer_done);
    this->check_shutdown(balancer_done, last);
}

auto router_process::implementation::check_shutdown(
    common::time_point balancer_done, common::time_point last) -> void
{
    const auto now = daemon::boot_time();
    const bool is_idle =
        this->core->in_flight() == 0 && this->callers_server->busy_connections() == 0;
    if (now >= last && !is_idle && !std::exchange(this->has_ended_requests, true)) {
        common::log(
            log_part::entry,
            log_level::info,
            "ending open requests under_way=" + std::to_string(this->core->in_flight()));
        this->core->end_all_requests();
    }
    if ((now >= balancer_done && is_idle) || now >= last + last_response_time) {
        common::log(
            log_part::entry,
            log_level::info,
            "stopped cut=" + std::to_string(this->core->in_flight()));
        this->context.stop();
        return;
    }
    this->timers->add(now + shutdown_check, [this, balancer_done, last] {
        this->check_shutdown(balancer_done, last);
    });
}

} // namespace reedramp::router_program
