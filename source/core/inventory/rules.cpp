#include "inventory/rules.hpp"

#include <algorithm>

namespace reedramp::inventory::rules {

using common::failure;
using common::result_code;

namespace {

template <typename Map, typename Key>
auto find_in(const Map& items, const Key& id) -> const typename Map::mapped_type*
{
    const auto found = items.find(id);
    return found == items.end() ? nullptr : &found->second;
}

template <typename Items, typename Value>
auto contains(const Items& items, const Value& value) -> bool
{
    return std::ranges::find(items, value) != items.end();
}

/// The last changed roll-out to this version; null if there is none.
auto newest_rollout_to(const state& current, const common::version_id& id) -> const rollout*
{
    const rollout* newest = nullptr;
    for (const auto& [name, item] : current.rollouts) {
        if (item.to == id && (newest == nullptr || item.changed > newest->changed)) {
            newest = &item;
        }
    }
    return newest;
}

auto refuses_when_stale(const state& current, const version& item) -> bool
{
    if (item.when_stale != stale_rule::by_stage) {
        return item.when_stale == stale_rule::refuse;
    }
    return item.sensitive || stage_of(current, item.id) == version_stage::rollout;
}

} // namespace

auto organisation_of_key(const state& current, std::string_view key_hash) -> const organisation*
{
    const auto owner = current.key_owners.find(std::string(key_hash));
    if (owner == current.key_owners.end()) {
        return nullptr;
    }
    return find_organisation(current, owner->second);
}

auto find_organisation(const state& current, const common::organisation_id& id)
    -> const organisation*
{
    return find_in(current.organisations, id);
}

auto find_version(const state& current, const common::version_id& id) -> const version*
{
    return find_in(current.versions, id);
}

auto find_service(const state& current, const common::service_name& name) -> const service*
{
    return find_in(current.services, name);
}

auto allowed(const state& current, const organisation& owner, const version& item) -> bool
{
    if (!contains(owner.models, item.model)) {
        return false;
    }
    const auto is_same_model = [&current, &item](const common::version_id& id) {
        const auto* listed = find_version(current, id);
        return listed != nullptr && listed->model == item.model;
    };
    const auto is_restricted = std::ranges::any_of(owner.versions, is_same_model);
    return !is_restricted || contains(owner.versions, item.id);
}

auto allowed(const organisation& owner, const common::service_name& name) -> bool
{
    return contains(owner.services, name);
}

auto task_rule_of(const organisation& owner, const common::task_name& task) -> const task_rule*
{
    const task_rule* general = nullptr;
    for (const auto& rule : owner.tasks) {
        if (rule.task == task) {
            return &rule;
        }
        if (rule.task.value().empty()) {
            general = &rule;
        }
    }
    return general;
}

auto stage_of(const state& current, const common::version_id& id) -> version_stage
{
    if (current.is_withdrawn(id)) {
        return version_stage::withdrawn;
    }
    const auto* newest = newest_rollout_to(current, id);
    if (newest != nullptr) {
        const auto is_done = newest->status == rollout_status::completed;
        return is_done ? version_stage::stable : version_stage::rollout;
    }
    const auto* item = find_version(current, id);
    return item == nullptr ? version_stage::withdrawn : item->stage;
}

auto serving(
    const state& current, const common::version_id& id, const freshness& fresh, work_origin origin)
    -> common::result<const version*>
{
    if (current.is_withdrawn(id)) {
        return failure(result_code::version_withdrawn, "version " + id.value());
    }
    const auto* item = find_version(current, id);
    if (item == nullptr) {
        return failure(result_code::unknown_model, "version " + id.value());
    }
    const auto is_current = fresh.now <= fresh.current_until;
    if (origin == work_origin::pinned_session || is_current) {
        return item;
    }
    if (refuses_when_stale(current, *item)) {
        return failure(result_code::stale_configuration, "version " + id.value());
    }
    return item;
}

auto versions_of(const state& current, const common::model_id& id) -> std::vector<const version*>
{
    std::vector<const version*> found;
    for (const auto& [name, item] : current.versions) {
        if (item.model == id && !current.is_withdrawn(name)) {
            found.push_back(&item);
        }
    }
    return found;
}

auto open_rollout_of(const state& current, const common::model_id& id) -> const rollout*
{
    for (const auto& [name, item] : current.rollouts) {
        const auto is_open =
            item.status == rollout_status::running || item.status == rollout_status::paused;
        if (is_open && item.model == id && !current.is_withdrawn(item.to)) {
            return &item;
        }
    }
    return nullptr;
}

auto servers_of(const state& current, const common::version_id& id)
    -> std::vector<const backend_server*>
{
    std::vector<const backend_server*> found;
    for (const auto& [name, item] : current.servers) {
        if (contains(item.versions, id)) {
            found.push_back(&item);
        }
    }
    return found;
}

auto servers_of(const state& current, const common::service_name& name)
    -> std::vector<const backend_server*>
{
    std::vector<const backend_server*> found;
    for (const auto& [id, item] : current.servers) {
        if (item.kind == server_kind::service && item.service == name) {
            found.push_back(&item);
        }
    }
    return found;
}

auto repeat_rule_of(const service& item, std::string_view method) -> messages::repeat_rule
{
    const auto is_listed = contains(item.idempotent_methods, method);
    return is_listed ? messages::repeat_rule::idempotent : messages::repeat_rule::at_most_once;
}

} // namespace reedramp::inventory::rules
