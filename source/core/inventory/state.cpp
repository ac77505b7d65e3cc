#include "inventory/state.hpp"

#include <algorithm>
#include <variant>

#include "inventory/state_edit.hpp"

namespace reedramp::inventory {

namespace {

/// Calls `action` with the map of entities of this kind and the id as the map's key type.
template <typename State, typename Action>
auto with_map(State& current, const entity_ref& item, Action action)
{
    switch (item.kind) {
    case entity_kind::model:
        return action(current.models, common::model_id{item.id});
    case entity_kind::version:
        return action(current.versions, common::version_id{item.id});
    case entity_kind::server:
        return action(current.servers, common::server_id{item.id});
    case entity_kind::service:
        return action(current.services, common::service_name{item.id});
    case entity_kind::organisation:
        return action(current.organisations, common::organisation_id{item.id});
    case entity_kind::rollout:
        break;
    }
    return action(current.rollouts, item.id);
}

auto drop_keys(state& current, const common::organisation_id& id) -> void
{
    const auto found = current.organisations.find(id);
    if (found == current.organisations.end()) {
        return;
    }
    for (const auto& hash : found->second.key_hashes) {
        const auto owner = current.key_owners.find(hash);
        if (owner != current.key_owners.end() && owner->second == id) {
            current.key_owners.erase(owner);
        }
    }
}

auto ref_to(const model& item) -> entity_ref
{
    return {entity_kind::model, item.id.value()};
}

auto ref_to(const version& item) -> entity_ref
{
    return {entity_kind::version, item.id.value()};
}

auto ref_to(const backend_server& item) -> entity_ref
{
    return {entity_kind::server, item.id.value()};
}

auto ref_to(const service& item) -> entity_ref
{
    return {entity_kind::service, item.name.value()};
}

auto ref_to(const organisation& item) -> entity_ref
{
    return {entity_kind::organisation, item.id.value()};
}

auto ref_to(const rollout& item) -> entity_ref
{
    return {entity_kind::rollout, item.id};
}

template <typename Map>
auto add_refs(const Map& items, std::set<entity_ref>& into) -> void
{
    for (const auto& [id, item] : items) {
        into.insert(ref_to(item));
    }
}

} // namespace

auto state::is_withdrawn(const common::version_id& id) const -> bool
{
    return this->withdrawn.contains(id) || this->withdrawn_early.contains(id);
}

auto state::find_outcome(const common::record_id& id) const -> const record_outcome*
{
    const auto found =
        std::find_if(this->recent.rbegin(), this->recent.rend(), [&id](const record_outcome& item) {
            return item.id == id;
        });
    return found == this->recent.rend() ? nullptr : &*found;
}

auto state::find_outcome_at(common::log_offset at) const -> const record_outcome*
{
    const auto found = std::ranges::lower_bound(this->recent, at, {}, &record_outcome::offset);
    if (found == this->recent.end() || found->offset != at) {
        return nullptr;
    }
    return &*found;
}

auto state::changed_at(const entity_ref& item) const -> common::log_offset
{
    const auto gone = this->removed.find(item);
    if (gone != this->removed.end()) {
        return gone->second;
    }
    return with_map(*this, item, [](const auto& items, const auto& id) {
        const auto found = items.find(id);
        return found == items.end() ? common::log_offset{} : found->second.changed;
    });
}

auto ref_of(const entity& item) -> entity_ref
{
    return std::visit([](const auto& value) { return ref_to(value); }, item);
}

auto get_entity(const state& current, const entity_ref& item) -> std::optional<entity>
{
    return with_map(current, item, [](const auto& items, const auto& id) -> std::optional<entity> {
        const auto found = items.find(id);
        if (found == items.end()) {
            return std::nullopt;
        }
        return found->second;
    });
}

auto set_entity(state& current, entity item) -> void
{
    const auto ref = ref_of(item);
    if (const auto* owner = std::get_if<organisation>(&item)) {
        drop_keys(current, owner->id);
        for (const auto& hash : owner->key_hashes) {
            current.key_owners.insert_or_assign(hash, owner->id);
        }
    }
    with_map(current, ref, [&item](auto& items, auto id) {
        using stored = typename std::remove_reference_t<decltype(items)>::mapped_type;
        items.insert_or_assign(std::move(id), std::get<stored>(std::move(item)));
    });
}

auto erase_entity(state& current, const entity_ref& item) -> void
{
    if (item.kind == entity_kind::organisation) {
        drop_keys(current, common::organisation_id{item.id});
    }
    with_map(current, item, [](auto& items, const auto& id) { items.erase(id); });
}

auto index_keys(state& current) -> void
{
    current.key_owners.clear();
    for (const auto& [id, owner] : current.organisations) {
        for (const auto& hash : owner.key_hashes) {
            current.key_owners.insert_or_assign(hash, id);
        }
    }
}

auto all_refs(const state& current) -> std::set<entity_ref>
{
    std::set<entity_ref> made;
    add_refs(current.models, made);
    add_refs(current.versions, made);
    add_refs(current.servers, made);
    add_refs(current.services, made);
    add_refs(current.organisations, made);
    add_refs(current.rollouts, made);
    return made;
}

} // namespace reedramp::inventory
