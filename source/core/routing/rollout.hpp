#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "routing/stream_position.hpp"

namespace reedramp::routing {

/// An operator's order to move a service's traffic to another version.
struct rollout_order {
    common::service_name service;
    common::version_id target;
    /// Time that the roll-out may take, from the order on.
    std::chrono::milliseconds allowed{0};
    /// Position of its record in the operators' stream; 0 if unknown, as from earlier releases.
    stream_position at{};

    /// Whether both records ask for the same. They may be one order that was written twice.
    [[nodiscard]] auto asks_same_as(const rollout_order& other) const -> bool
    {
        return this->service == other.service && this->target == other.target &&
               this->allowed == other.allowed;
    }
};

enum class rollout_state : std::uint8_t { running, complete, reverted };

auto to_string(rollout_state state) -> std::string_view;

/// State of a roll-out as published by the system.
struct rollout_status {
    common::service_name service;
    common::version_id target;
    rollout_state state = rollout_state::running;

    auto operator==(const rollout_status&) const -> bool = default;
};

/// Points in time at which a roll-out's share grows, as fractions of the time that it may take.
struct rollout_schedule {
    /// Share of sessions on the new version during the first half. At 50 requests per second this
    /// gives about 60 answers in half of a short roll-out, enough for the regression detector, and
    /// 0.05 of all requests, a third of what a bad version may receive.
    double first_share = 0.10;
    /// Delay after the order, so that entries have reported to each other which sessions use the
    /// old version: several messages, one of which may be lost.
    std::chrono::milliseconds begins_after{600};
    /// From here on more sessions move; before it, no session may change its version. The steps
    /// take 0.5 to 0.7 s in typical roll-outs, enough for the regression detector to notice a
    /// version that is bad under load. They are short so that sessions have left the old version
    /// before it is stopped.
    double second_at = 0.51;
    double second_share = 0.25;
    double third_at = 0.57;
    double third_share = 0.50;
    double full_at = 0.63;
    /// A doubtful version is given until this point, a tenth of the time after its share should
    /// have grown; a version that is three times as slow has usually been found before.
    double doubt_until = 0.62;
    /// Growth that was held back by evidence continues at this point at the latest; sessions need
    /// the remaining time to leave the old version.
    double latest_growth = 0.72;
    /// The old version's last answers and sessions are awaited until this point; then the roll-out
    /// is declared complete, and streams that this cuts continue on the new version. In a short
    /// roll-out one second remains, some tens of the store's usual response times.
    double complete_at = 0.92;
};

/// Returns the share of sessions for the new version after `elapsed` of `allowed`.
auto share_at(
    const rollout_schedule& schedule,
    std::chrono::milliseconds elapsed,
    std::chrono::milliseconds allowed) -> double;

/// Whether a session is in the `share` for the new version. All entries compute the same result,
/// and a session stays in the share while it grows, so no entry has to remember the version of
/// another entry's session.
auto is_in_share(std::uint64_t session_hash, double share) -> bool;

/// Whether a request without a session is in the `share` for the new version, `elapsed` after the
/// order: all of them in the first part of each cycle of some seconds, none in the rest of it.
///
/// Such requests may change their version at any time. One by one, those of a service with few
/// requests would each find the new version's servers idle, and a version that fails under load
/// would not show it; together they meet the load that the service's callers make.
auto is_in_cycle_share(std::chrono::milliseconds elapsed, double share) -> bool;

} // namespace reedramp::routing
