#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "control/evidence_board.hpp"
#include "inventory/state.hpp"
#include "policy/regression_detector.hpp"

namespace reedramp::control {

/// One step of a roll-out: its share of new sessions, and how sure the evidence has to be that the
/// version is not worse before the next step is taken.
struct rollout_step {
    common::permille share;
    double doubt;
};

enum class alarm_response : std::uint8_t {
    /// Withdraw the version: it takes no new work, and its sessions end.
    withdraw,
    /// Stop the roll-out; sessions that are on the version stay there.
    pause,
};

struct rollout_options {
    policy::regression_detector_options guard;
    std::vector<rollout_step> steps;
    alarm_response on_alarm = alarm_response::withdraw;
    /// Processes propose in the order of their rank, this far apart, so that as a rule one does.
    common::duration rank_delay = std::chrono::seconds(2);
};

/// Steps of 1, 5, 20, 50 and 100 percent.
auto default_steps() -> std::vector<rollout_step>;

/// Propose to give the roll-out its next share.
struct propose_share {
    std::string rollout;
    common::permille share;
    std::uint32_t step = 0;
    /// All of the version's traffic moves with this step.
    bool completes = false;
    /// The record's base: of several proposers, the first in the log wins and the rest conflict.
    common::log_offset base;
};

/// Propose the answer to an alarm.
struct propose_stop {
    std::string rollout;
    common::version_id version;
    alarm_response response = alarm_response::withdraw;
    common::log_offset base;
};

using rollout_action = std::variant<propose_share, propose_stop>;

/// Moves roll-outs on by evidence. Every entry runs one; none is in charge. All that must last is
/// in the log: a roll-out whose processes were all replaced goes on from the step recorded there.
class rollout_controller {
public:
    explicit rollout_controller(rollout_options options);

    /// Looks at all roll-outs. `rank` is this process's place in the rendezvous order of the
    /// roll-out among live entries, 0 first.
    auto decide(
        const inventory::state& current,
        const evidence_board& evidence,
        std::uint32_t rank,
        common::time_point now) -> std::vector<rollout_action>;

    /// Whether this process has seen the alarm on the version. Such a version gets no new session
    /// here from that moment on, before anything is in the log.
    [[nodiscard]] auto alarmed(const common::version_id& version) const -> bool;

private:
    struct watch {
        std::uint32_t step = 0;
        /// When this process may propose, or `never`.
        common::time_point propose_at = common::never;
    };

    auto look_at(
        const inventory::rollout& item,
        const evidence_board& evidence,
        std::uint32_t rank,
        common::time_point now,
        common::log_offset base) -> std::vector<rollout_action>;
    auto next_step(const inventory::rollout& item, common::log_offset base) const
        -> std::vector<rollout_action>;
    auto may_propose(const std::string& id, std::uint32_t rank, common::time_point now) -> bool;
    auto is_alarmed(const common::version_id& version) const -> bool;

    rollout_options options;
    mutable std::mutex lock;
    std::map<std::string, watch> watches;
    std::set<common::version_id> alarms;
};

} // namespace reedramp::control
