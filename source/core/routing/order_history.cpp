#include "routing/order_history.hpp"

#include <algorithm>

namespace reedramp::routing {

namespace {

/// More orders than are given within the time in which a late write may arrive.
constexpr std::size_t max_replaced = 8;

} // namespace

auto order_history::note_judged(stream_position at) -> void
{
    this->newest_judged = std::max(this->newest_judged, at);
}

auto order_history::note_replaced(const rollout_order& order, time_point now) -> void
{
    this->replaced.push_back({order, now});
    if (this->replaced.size() <= max_replaced) {
        return;
    }
    this->seen.erase(this->replaced.front().order.target);
    this->replaced.pop_front();
}

auto order_history::was_replaced(const rollout_order& order) const -> bool
{
    return std::ranges::any_of(this->replaced, [&order](const replaced_order& past) {
        return past.order.asks_same_as(order);
    });
}

auto order_history::may_be_late_write(const rollout_order& order, time_point written) const -> bool
{
    // All writes of an order were sent before the next order was, so that they are late by the time
    // since its replacement at least.
    return std::ranges::any_of(this->replaced, [&order, written](const replaced_order& past) {
        return past.order.asks_same_as(order) && past.is_of_this_era &&
               written < past.at + late_write_time;
    });
}

auto order_history::note_new_era() -> void
{
    for (auto& past : this->replaced) {
        past.is_of_this_era = false;
    }
}

auto order_history::note_servers(
    const common::version_id& version, const std::vector<server_instance>& now) -> void
{
    this->seen[version].insert(now.begin(), now.end());
}

auto order_history::has_new_servers(
    const common::version_id& version,
    const std::vector<server_instance>& now,
    std::size_t servers_in_force) const -> bool
{
    const auto found = this->seen.find(version);
    const auto known = found == this->seen.end() ? 0 : found->second.size();
    const auto started = static_cast<std::size_t>(
        std::ranges::count_if(now, [&found, known](const server_instance& one) {
            return known == 0 || !found->second.contains(one);
        }));
    return started > 0 && started * 2 > std::max(known, servers_in_force);
}

auto order_history::hold(const held_order& one) -> void
{
    const bool is_new_one_held = this->waiting && this->waiting->why == hold_reason::has_no_servers;
    if (!is_new_one_held || one.why == hold_reason::has_no_servers) {
        this->waiting = one;
    }
}

} // namespace reedramp::routing
