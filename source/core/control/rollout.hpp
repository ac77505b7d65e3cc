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
#include "control/evidence_aggregator.hpp"
#include "inventory/state.hpp"
#include "policy/regression_detector.hpp"

namespace reedramp::control {

struct rollout_step {
    /// Share of new sessions that get the new version.
    common::permille share;
    /// Accepted probability that the version is worse although the evidence says that it is not;
    /// the next step is taken only at or below it.
    double error_probability;
};

enum class alarm_response : std::uint8_t {
    /// Withdraw the version: it gets no new work, and its sessions are ended.
    withdraw,
    /// Stop the roll-out; sessions already on the version stay there.
    pause,
};

struct rollout_options {
    policy::regression_detector_options detector;
    std::vector<rollout_step> steps;
    alarm_response on_alarm = alarm_response::withdraw;
    /// Delay per rank before a process proposes, so that normally only the first one does.
    common::duration rank_delay = std::chrono::seconds(2);
};

/// Steps of 1, 5, 20, 50 and 100 percent.
auto default_steps() -> std::vector<rollout_step>;

/// Proposes the roll-out's next share.
struct propose_share {
    std::string rollout;
    common::permille share;
    std::uint32_t step = 0;
    /// Whether this step moves all traffic to the version, which completes the roll-out.
    bool completes = false;
    /// Base offset of the record: of several proposals with one base, the first in the log is
    /// applied and the others conflict.
    common::log_offset base;
};

/// Proposes the response to an alarm.
struct propose_stop {
    std::string rollout;
    common::version_id version;
    alarm_response response = alarm_response::withdraw;
    common::log_offset base;
};

using rollout_action = std::variant<propose_share, propose_stop>;

/// Advances or stops roll-outs according to the evidence. Every entry runs one and no entry is the
/// leader. All durable state is in the log: a roll-out whose processes were all replaced continues
/// from the step recorded there.
///
/// Thread-safe.
class rollout_controller {
public:
    explicit rollout_controller(rollout_options options);

    /// Evaluates all running roll-outs and returns the actions to propose. `rank` is this process's
    /// position, from 0, in the rendezvous order of the live entries.
    auto decide(
        const inventory::state& current,
        const evidence_aggregator& evidence,
        std::uint32_t rank,
        common::time_point now) -> std::vector<rollout_action>;

    /// Whether this process has raised an alarm for the version. From then on this process gives it
    /// no new sessions, even before the withdrawal is in the log.
    [[nodiscard]] auto has_alarm(const common::version_id& version) const -> bool;

private:
    struct step_progress {
        std::uint32_t step = 0;
        /// When this process may propose; `never` while there is nothing to propose.
        common::time_point propose_at = common::never;
    };

    auto evaluate_rollout(
        const inventory::rollout& item,
        const evidence_aggregator& evidence,
        std::uint32_t rank,
        common::time_point now,
        common::log_offset base) -> std::vector<rollout_action>;
    auto next_step(const inventory::rollout& item, common::log_offset base) const
        -> std::vector<rollout_action>;
    auto may_propose(const std::string& id, std::uint32_t rank, common::time_point now) -> bool;
    /// The lock must be held.
    auto has_alarm_locked(const common::version_id& version) const -> bool;

    rollout_options options;
    mutable std::mutex lock;
    std::map<std::string, step_progress> progress_by_rollout;
    std::set<common::version_id> alarms;
};

} // namespace reedramp::control
