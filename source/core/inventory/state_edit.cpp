#include "inventory/state_edit.hpp"

#include <utility>

namespace reedramp::inventory {

auto state_edit::save_original(const entity_ref& item) -> void
{
    if (this->originals.contains(item)) {
        return;
    }
    this->originals.emplace(item, get_entity(this->current, item));
    const auto removed_entity = this->current.removed.find(item);
    std::optional<common::log_offset> removal;
    if (removed_entity != this->current.removed.end()) {
        removal = removed_entity->second;
    }
    this->removals.emplace(item, removal);
}

auto state_edit::put(entity item, common::log_offset at) -> void
{
    const auto ref = ref_of(item);
    this->save_original(ref);
    std::visit([at](auto& value) { value.changed = at; }, item);
    set_entity(this->current, std::move(item));
    this->current.removed.erase(ref);
}

auto state_edit::remove(const entity_ref& item, common::log_offset at) -> void
{
    this->save_original(item);
    erase_entity(this->current, item);
    this->current.removed.insert_or_assign(item, at);
}

auto state_edit::withdraw(const common::version_id& id, common::log_offset at) -> void
{
    if (this->current.withdrawn.emplace(id, at).second) {
        this->new_withdrawals.insert(id);
    }
}

auto state_edit::undo() -> void
{
    for (auto& [ref, original] : this->originals) {
        erase_entity(this->current, ref);
        this->current.removed.erase(ref);
    }
    for (auto& [ref, original] : this->originals) {
        if (original) {
            set_entity(this->current, *original);
        }
        const auto& removal = this->removals.at(ref);
        if (removal) {
            this->current.removed.emplace(ref, *removal);
        }
    }
    for (const auto& id : this->new_withdrawals) {
        this->current.withdrawn.erase(id);
    }
    // The refused record may have assigned an API key of an untouched organisation to another one.
    index_keys(this->current);
    this->originals.clear();
    this->removals.clear();
    this->new_withdrawals.clear();
}

} // namespace reedramp::inventory
