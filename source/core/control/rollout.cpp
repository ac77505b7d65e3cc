#include "control/rollout.hpp"

#include <algorithm>

#include "common/log.hpp"

namespace reedramp::control {

namespace {

constexpr common::permille full_share{1000};

auto describe(const inventory::rollout& item, const policy::evaluation& found) -> std::string
{
    return "rollout=" + item.id + " version=" + item.to.value() +
           " step=" + std::to_string(item.step) + " against=" + std::to_string(found.log_against) +
           " for=" + std::to_string(found.log_for);
}

} // namespace

auto default_steps() -> std::vector<rollout_step>
{
    return {
        {common::permille(10), 0.3},
        {common::permille(50), 0.1},
        {common::permille(200), 0.03},
        {common::permille(500), 0.01},
        {full_share, 0.01},
    };
}

rollout_controller::rollout_controller(rollout_options chosen) : options(std::move(chosen))
{
    if (this->options.steps.empty()) {
        this->options.steps = default_steps();
    }
}

auto rollout_controller::decide(
    const inventory::state& current,
    const evidence_aggregator& evidence,
    std::uint32_t rank,
    common::time_point now) -> std::vector<rollout_action>
{
    const std::lock_guard guard(this->lock);
    std::vector<rollout_action> actions;
    for (const auto& [id, item] : current.rollouts) {
        if (item.status != inventory::rollout_status::running || current.is_withdrawn(item.to)) {
            this->progress_by_rollout.erase(id);
            continue;
        }
        auto found = this->evaluate_rollout(item, evidence, rank, now, current.offset);
        actions.insert(actions.end(), found.begin(), found.end());
    }
    return actions;
}

auto rollout_controller::evaluate_rollout(
    const inventory::rollout& item,
    const evidence_aggregator& evidence,
    std::uint32_t rank,
    common::time_point now,
    common::log_offset base) -> std::vector<rollout_action>
{
    auto& progress = this->progress_by_rollout[item.id];
    if (progress.step != item.step) {
        progress = {item.step, common::never};
    }
    const auto index = std::min<std::size_t>(item.step, this->options.steps.size() - 1);
    const auto found = policy::evaluate(
        evidence.total_of(item.to),
        this->options.detector,
        this->options.steps[index].error_probability);
    if (found.decision == policy::verdict::worse && this->alarms.insert(item.to).second) {
        common::log(
            common::log_part::rollout,
            common::log_level::warning,
            "alarm, no new sessions " + describe(item, found));
    }
    if (this->has_alarm_locked(item.to)) {
        if (!this->may_propose(item.id, rank, now)) {
            return {};
        }
        return {propose_stop{item.id, item.to, this->options.on_alarm, base}};
    }
    if (found.decision != policy::verdict::not_worse) {
        progress.propose_at = common::never;
        return {};
    }
    if (!this->may_propose(item.id, rank, now)) {
        return {};
    }
    common::log(
        common::log_part::rollout,
        common::log_level::info,
        "proposing the next step " + describe(item, found));
    return this->next_step(item, base);
}

auto rollout_controller::next_step(const inventory::rollout& item, common::log_offset base) const
    -> std::vector<rollout_action>
{
    const std::size_t next = std::size_t{item.step} + 1;
    if (next >= this->options.steps.size()) {
        return {};
    }
    const auto share = this->options.steps[next].share;
    return {
        propose_share{item.id, share, static_cast<std::uint32_t>(next), share == full_share, base}};
}

auto rollout_controller::may_propose(
    const std::string& id, std::uint32_t rank, common::time_point now) -> bool
{
    auto& progress = this->progress_by_rollout[id];
    if (progress.propose_at == common::never) {
        progress.propose_at = now + rank * this->options.rank_delay;
    }
    if (now < progress.propose_at) {
        return false;
    }
    // A lost proposal is repeated after a delay. A repeat that was not needed has an outdated base
    // and is rejected.
    progress.propose_at = now + 5 * this->options.rank_delay;
    return true;
}

auto rollout_controller::has_alarm(const common::version_id& version) const -> bool
{
    const std::lock_guard guard(this->lock);
    return this->has_alarm_locked(version);
}

auto rollout_controller::has_alarm_locked(const common::version_id& version) const -> bool
{
    return this->alarms.contains(version);
}

} // namespace reedramp::control
