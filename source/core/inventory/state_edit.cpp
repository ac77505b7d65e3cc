#include "inventory/state_edit.hpp"

#include <utility>

namespace reedramp::inventory {

auto state_edit::keep_image(const entity_ref& item) -> void
{
    if (this->images.contains(item)) {
        return;
    }
    this->images.emplace(item, get_entity(this->current, item));
    const auto gone = this->current.removed.find(item);
    std::optional<common::log_offset> removal;
    if (gone != this->current.removed.end()) {
        removal = gone->second;
    }
    this->removals.emplace(item, removal);
}

auto state_edit::put(entity item, common::log_offset at) -> void
{
    const auto ref = ref_of(item);
    this->keep_image(ref);
    std::visit([at](auto& value) { value.changed = at; }, item);
    set_entity(this->current, std::move(item));
    this->current.removed.erase(ref);
}

auto state_edit::remove(const entity_ref& item, common::log_offset at) -> void
{
    this->keep_image(item);
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
    for (auto& [ref, image] : this->images) {
        erase_entity(this->current, ref);
        this->current.removed.erase(ref);
    }
    for (auto& [ref, image] : this->images) {
        if (image) {
            set_entity(this->current, *image);
        }
        const auto& removal = this->removals.at(ref);
        if (removal) {
            this->current.removed.emplace(ref, *removal);
        }
    }
    for (const auto& id : this->new_withdrawals) {
        this->current.withdrawn.erase(id);
    }
    // A refused organisation may have taken over a key of one that was not touched.
    index_keys(this->current);
    this->images.clear();
    this->removals.clear();
    this->new_withdrawals.clear();
}

} // namespace reedramp::inventory
