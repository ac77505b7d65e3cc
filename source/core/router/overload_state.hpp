#pragma once

#include <chrono>
#include <cstdint>
#include <map>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "overload/admission_control.hpp"
#include "overload/control_mode.hpp"
#include "overload/refusal_throttle.hpp"
#include "overload/service_pressure.hpp"
#include "routing/configuration.hpp"
#include "routing/load_tracker.hpp"
#include "routing/server_speed_tracker.hpp"
#include "routing/server_table.hpp"

namespace reedramp::router {

using common::time_point;

struct overload_options {
    overload::control_mode mode = overload::control_mode::automatic;
    /// The deployment states that callers compete for capacity. Counts in automatic mode.
    bool is_declared = false;
    /// Requests are also held, deferred and refused for scarcity. Without it, only those that can't
    /// end in time are refused, and sends to plain services that refuse them are throttled.
    bool admits_by_room = false;
    /// Age at which a service's pressure is computed anew: one interval of peers' reports.
    std::chrono::milliseconds refresh{100};
};

/// Decisions which requests to a service are admitted.
struct service_admission {
    overload::admission_control control;
    /// When a request of this entry last got its first event or its response.
    time_point last_completed{};
    /// The following are used for a plain service. Its pressure is the expected time of a request
    /// relative to its target: the servers share their processor among the running requests, so
    /// that answers are late before all slots are in use.
    overload::refusal_throttle throttle;
    overload::pressure_gauge time_gauge = {};
};

/// What the pressure of a service is computed from.
struct service_trackers {
    const routing::route_table& rules;
    const routing::server_table& servers;
    const routing::load_tracker& loads;
    const routing::server_speed_tracker& speeds;
};

/// Computes the view of a service's load over its usable servers.
auto view_service(
    const common::service_name& service,
    std::chrono::milliseconds shortest_target,
    const service_trackers& trackers,
    time_point now) -> overload::service_view;

/// Whether overload control is in force, and how scarce the capacity of each service is.
class overload_state {
public:
    explicit overload_state(overload_options options);

    /// Notes that a server has stated its present speed, which turns automatic mode on.
    auto note_stated_speed() -> void { this->has_stated_speed = true; }

    [[nodiscard]] auto is_in_force() const -> bool;

    /// Pressure of the service; 0 while the control is not in force.
    auto
    pressure(const common::service_name& service, const service_trackers& trackers, time_point now)
        -> double;

private:
    struct service_state {
        overload::pressure_gauge gauge;
        time_point refresh_at{};
        std::chrono::milliseconds shortest_target{0};
        /// Version of the rules that `shortest_target` is of.
        std::uint64_t rules_version = 0;
    };

    overload_options options;
    bool has_stated_speed = false;
    std::map<common::service_name, service_state> services;
};

} // namespace reedramp::router
