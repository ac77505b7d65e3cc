#include "inventory/withdrawal_table.hpp"

#include <utility>

namespace reedramp::inventory {

auto withdrawal_table::add(pending_withdrawal item) -> add_step
{
    if (this->items.contains(item.item.version)) {
        return add_step::known;
    }
    if (this->items.size() >= this->most) {
        return add_step::full;
    }
    auto id = item.item.version;
    this->items.emplace(std::move(id), std::move(item));
    return add_step::added;
}

auto withdrawal_table::settle(state& current) -> void
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
    common::time_point answer_until) -> std::vector<pending_withdrawal>
{
    std::vector<pending_withdrawal> due;
    for (auto& [id, item] : this->items) {
        if (item.answer_until <= now) {
            this->answered(id, now);
        }
        const auto is_read = evidence.value_or(common::time_point::min()) >= item.read_after;
        const auto is_idle = item.answer_until == common::never;
        const auto is_ours = item.is_own || is_tailer;
        if (is_idle && is_read && is_ours && item.append_at <= now) {
            item.answer_until = answer_until;
            due.push_back(item);
        }
    }
    return due;
}

auto withdrawal_table::refused(const common::version_id& version, common::time_point append_at)
    -> void
{
    const auto found = this->items.find(version);
    if (found == this->items.end()) {
        return;
    }
    found->second.answer_until = common::never;
    found->second.append_at = append_at;
}

auto withdrawal_table::answered(const common::version_id& version, common::time_point now) -> void
{
    const auto found = this->items.find(version);
    if (found == this->items.end()) {
        return;
    }
    found->second.answer_until = common::never;
    found->second.read_after = now;
}

} // namespace reedramp::inventory
