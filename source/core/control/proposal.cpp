#include "control/proposal.hpp"

namespace reedramp::control {

namespace {

constexpr auto author = "rollout-controller";

auto find_rollout(const inventory::state& current, const std::string& id)
    -> std::optional<inventory::rollout>
{
    const auto found = current.rollouts.find(id);
    if (found == current.rollouts.end()) {
        return std::nullopt;
    }
    return found->second;
}

auto start_record(const std::string& id, common::log_offset base, common::wall_time_ms at)
    -> inventory::record
{
    inventory::record made;
    made.id = common::record_id(id);
    made.author = author;
    made.at = at;
    made.base = base;
    return made;
}

auto share_record(
    const propose_share& action, const inventory::state& current, common::wall_time_ms at)
    -> std::optional<inventory::record>
{
    auto item = find_rollout(current, action.rollout);
    if (!item || item->step + 1 != action.step) {
        return std::nullopt;
    }
    const auto id = "rollout-" + action.rollout + "-" + std::to_string(item->changed.value()) +
                    "-step-" + std::to_string(action.step);
    auto made = start_record(id, action.base, at);
    item->share = action.share;
    item->step = action.step;
    if (action.completes) {
        item->status = inventory::rollout_status::completed;
    }
    made.changes.emplace_back(inventory::put_change{*item});
    return made;
}

auto stop_record(
    const propose_stop& action, const inventory::state& current, common::wall_time_ms at)
    -> std::optional<inventory::record>
{
    auto item = find_rollout(current, action.rollout);
    if (!item || item->status != inventory::rollout_status::running) {
        return std::nullopt;
    }
    const auto id =
        "rollout-" + action.rollout + "-" + std::to_string(item->changed.value()) + "-alarm";
    auto made = start_record(id, action.base, at);
    item->share = common::permille(0);
    if (action.response == alarm_response::pause) {
        item->status = inventory::rollout_status::paused;
        made.changes.emplace_back(inventory::put_change{*item});
        return made;
    }
    item->status = inventory::rollout_status::aborted;
    made.changes.emplace_back(inventory::put_change{*item});
    made.changes.emplace_back(inventory::withdraw_change{action.version});
    return made;
}

} // namespace

auto to_record(
    const rollout_action& action, const inventory::state& current, common::wall_time_ms at)
    -> std::optional<inventory::record>
{
    if (const auto* share = std::get_if<propose_share>(&action)) {
        return share_record(*share, current, at);
    }
    return stop_record(std::get<propose_stop>(action), current, at);
}

} // namespace reedramp::control
