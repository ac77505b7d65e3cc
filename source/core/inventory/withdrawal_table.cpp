#include "inventory/withdrawal_table.hpp"

#include <utility>

namespace reedramp::inventory {

auto withdrawal_table::add(pending_withdrawal item) -> add_step
{
    if (this->items.contains(item.item.version)) {
        return add_step::known;
    }
    if (this->items.size() >= this->max_size) {
        return add_step::full;
    }
    auto id = item.item.version;
    this->items.emplace(std::move(id), std::move(item));
    return add_step::added;
}

auto withdrawal_table::update_state(state& current) -> void
{
    std::erase_if(this->items, [&current](const auto& entry) {
        return current.withdrawn.contains(entry.first);
    });
    current.withdrawn_early.clear();
    for (const auto& [id, item] : this->items) {
        current.withdrawn_early.insert(id);
    }
}

auto withdrawal_table::list() const -> std::vector<messages::withdrawal>
{
    std::vector<messages::withdrawal> made;
    made.reserve(this->items.size());
    for (const auto& [id, item] : this->items) {
        made.push_back(item.item);
    }
    return made;
}

auto withdrawal_table::take_due(
    common::time_point now,
    std::optional<common::time_point> evidence,
    bool is_tailer,
    common::time_point append_deadline) -> std::vector<pending_withdrawal>
{
    std::vector<pending_withdrawal> due;
    for (auto& [id, item] : this->items) {
        if (item.append_deadline <= now) {
            this->on_append_answered(id, now);
        }
        const auto is_read = evidence.value_or(common::time_point::min()) >= item.read_after;
        const auto is_idle = item.append_deadline == common::never;
        const auto is_ours = item.is_own || is_tailer;
        if (is_idle && is_read && is_ours && item.append_at <= now) {
            item.append_deadline = append_deadline;
            due.push_back(item);
        }
    }
    return due;
}

auto withdrawal_table::on_append_refused(
    const common::version_id& version, common::time_point append_at) -> void
{
    const auto found = this->items.find(version);
    if (found == this->items.end()) {
        return;
    }
    found->second.append_deadline = common::never;
    found->second.append_at = append_at;
}

auto withdrawal_table::on_append_answered(const common::version_id& version, common::time_point now)
    -> void
{
    const auto found = this->items.find(version);
    if (found == this->items.end()) {
        return;
    }
    found->second.append_deadline = common::never;
    found->second.read_after = now;
}

} // namespace reedramp::inventory
