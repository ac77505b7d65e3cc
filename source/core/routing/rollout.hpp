#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "common/ids.hpp"
#include "common/units.hpp"

namespace reedramp::routing {

/// An operator's order to move a service's traffic to another version.
struct rollout_order {
    common::service_name service;
    common::version_id target;
    /// Time that it may take, from the order on.
    std::chrono::milliseconds allowed{0};

    auto operator==(const rollout_order&) const -> bool = default;
};

enum class rollout_state : std::uint8_t { running, complete, reverted };

auto to_string(rollout_state state) -> std::string_view;

/// What the system has said about a roll-out.
struct rollout_status {
    common::service_name service;
    common::version_id target;
    rollout_state state = rollout_state::running;

    auto operator==(const rollout_status&) const -> bool = default;
};

/// When a roll-out's share grows, as parts of the time that it may take.
struct rollout_schedule {
    /// Share of sessions on the new version in the first half. It gives some 60 answers in half of
    /// a short roll-out at 50 requests a second, enough for the guard, and 0.05 of all requests,
    /// a third of what a bad version may get.
    double first_share = 0.10;
    /// It begins this long after the order, so that entries have told each other by then which
    /// sessions are on the old version: some messages, one of which may be lost.
    std::chrono::milliseconds begins_after{600};
    /// From here on more sessions move; until here none may change its version. The steps are
    /// 0.5 to 0.7 s in today's roll-outs: time for the guard to see a version that is bad under
    /// load. They are short so that sessions have left the old version before it is stopped.
    double second_at = 0.51;
    double second_share = 0.25;
    double third_at = 0.57;
    double third_share = 0.50;
    double full_at = 0.63;
    /// A version of which there is doubt is waited for until here, a tenth of the time after its
    /// share should have grown; a version three times as slow has mostly been found before.
    double doubt_until = 0.62;
    /// Growth that evidence has held up goes on from here at the latest; the rest of the time is
    /// what sessions need to leave the old version.
    double latest_growth = 0.72;
    /// The old version's last answers, and sessions, are waited for until here, then the roll-out
    /// is called complete: streams that are cut by it go on at the new version. What is left of a
    /// short roll-out is a second, some tens of the store's usual times.
    double complete_at = 0.92;
};

/// Share of sessions that go to the new version after `elapsed` of `allowed`.
auto share_at(
    const rollout_schedule& schedule,
    std::chrono::milliseconds elapsed,
    std::chrono::milliseconds allowed) -> double;

/// Whether a session is among the `share` that goes to the new version. All entries answer alike,
/// and a session that is among them stays so while the share grows; so no entry has to remember
/// which version a session of another entry is on.
auto is_in_share(std::uint64_t session_hash, double share) -> bool;

} // namespace reedramp::routing
