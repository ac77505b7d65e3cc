#include <algorithm>
#include <utility>

#include "inventory/state_edit.hpp"

namespace reedramp::inventory {

using common::failure;
using common::result_code;

namespace {

/// Description of a problem; empty if there is none.
using problem = std::string;

template <typename Map, typename Ids>
auto find_missing(const Map& items, const Ids& ids, std::string_view kind) -> problem
{
    for (const auto& id : ids) {
        if (!items.contains(id)) {
            return "there is no " + std::string(kind) + " " + id.value();
        }
    }
    return {};
}

template <typename Items, typename Value>
auto contains(const Items& items, const Value& value) -> bool
{
    return std::ranges::find(items, value) != items.end();
}

auto is_open(const rollout& item) -> bool
{
    return item.status == rollout_status::running || item.status == rollout_status::paused;
}

auto first_of(std::initializer_list<problem> found) -> problem
{
    const auto* first =
        std::ranges::find_if(found, [](const problem& item) { return !item.empty(); });
    return first == found.end() ? problem{} : *first;
}

/// Checks an entity of any kind against the state, which contains it already.
struct entity_check {
    const state& current;
    /// The entity before the record; null if it is new.
    const entity* old;

    auto operator()(const model& /*item*/) const -> problem { return {}; }

    auto operator()(const service& /*item*/) const -> problem { return {}; }

    auto operator()(const version& item) const -> problem
    {
        const auto* was = this->old == nullptr ? nullptr : std::get_if<version>(this->old);
        if (was != nullptr && was->model != item.model) {
            return "its model cannot change; sessions are pinned to it";
        }
        return find_missing(this->current.models, std::array{item.model}, "model");
    }

    auto operator()(const backend_server& item) const -> problem
    {
        if (item.kind == server_kind::service) {
            return find_missing(this->current.services, std::array{item.service}, "service");
        }
        return find_missing(this->current.versions, item.versions, "version");
    }

    auto operator()(const organisation& item) const -> problem
    {
        const auto shared = this->owner_of_shared_key(item);
        if (!shared.empty()) {
            return "it shares an API key with organisation " + shared;
        }
        return first_of(
            {find_missing(this->current.models, item.models, "model"),
             find_missing(this->current.versions, item.versions, "version"),
             find_missing(this->current.services, item.services, "service")});
    }

    auto owner_of_shared_key(const organisation& item) const -> std::string
    {
        for (const auto& [id, other] : this->current.organisations) {
            const auto& taken = other.key_hashes;
            const auto is_taken = [&taken](const auto& hash) {
                return contains(taken, hash);
            };
            if (id != item.id && std::ranges::any_of(item.key_hashes, is_taken)) {
                return id.value();
            }
        }
        return {};
    }

    auto operator()(const rollout& item) const -> problem
    {
        const auto* was = this->old == nullptr ? nullptr : std::get_if<rollout>(this->old);
        if (was != nullptr && !is_open(*was) && is_open(item)) {
            return "it has ended; start a new one";
        }
        for (const auto& id : {item.from, item.to}) {
            const auto found = this->current.versions.find(id);
            if (found == this->current.versions.end() || found->second.model != item.model) {
                return "model " + item.model.value() + " has no version " + id.value();
            }
        }
        for (const auto& [id, other] : this->current.rollouts) {
            if (id != item.id && is_open(item) && is_open(other) && other.model == item.model) {
                return "roll-out " + id + " of the same model is still open";
            }
        }
        return {};
    }
};

auto user_of_model(const state& current, const common::model_id& id) -> problem
{
    for (const auto& [name, item] : current.versions) {
        if (item.model == id) {
            return "version " + name.value();
        }
    }
    for (const auto& [name, item] : current.organisations) {
        if (contains(item.models, id)) {
            return "organisation " + name.value();
        }
    }
    return {};
}

auto user_of_version(const state& current, const common::version_id& id) -> problem
{
    for (const auto& [name, item] : current.servers) {
        if (contains(item.versions, id)) {
            return "server " + name.value();
        }
    }
    for (const auto& [name, item] : current.organisations) {
        if (contains(item.versions, id)) {
            return "organisation " + name.value();
        }
    }
    for (const auto& [name, item] : current.rollouts) {
        if (is_open(item) && (item.from == id || item.to == id)) {
            return "rollout " + name;
        }
    }
    return {};
}

auto user_of_service(const state& current, const common::service_name& name) -> problem
{
    for (const auto& [id, item] : current.servers) {
        if (item.service == name) {
            return "server " + id.value();
        }
    }
    for (const auto& [id, item] : current.organisations) {
        if (contains(item.services, name)) {
            return "organisation " + id.value();
        }
    }
    return {};
}

auto user_of(const state& current, const entity_ref& gone) -> problem
{
    switch (gone.kind) {
    case entity_kind::model:
        return user_of_model(current, common::model_id{gone.id});
    case entity_kind::version:
        return user_of_version(current, common::version_id{gone.id});
    case entity_kind::service:
        return user_of_service(current, common::service_name{gone.id});
    case entity_kind::server:
    case entity_kind::organisation:
    case entity_kind::rollout:
        return {};
    }
    return {};
}

/// Returns the withdrawn version that the entity would put into use again, or empty if there is
/// none. A withdrawn version may neither be put nor be the target of an open roll-out.
auto find_withdrawn(const state& current, const entity& item) -> problem
{
    const auto* put_version = std::get_if<version>(&item);
    if (put_version != nullptr && current.withdrawn.contains(put_version->id)) {
        return put_version->id.value();
    }
    const auto* put_rollout = std::get_if<rollout>(&item);
    const auto is_target = put_rollout != nullptr && is_open(*put_rollout);
    if (is_target && current.withdrawn.contains(put_rollout->to)) {
        return put_rollout->to.value();
    }
    return {};
}

auto check_removal(const state& current, const entity_ref& ref, const std::optional<entity>& old)
    -> common::result<void>
{
    const auto name = to_string(ref);
    if (!old) {
        return failure(result_code::invalid_record, "there is no " + name + " to remove");
    }
    const auto user = user_of(current, ref);
    if (!user.empty()) {
        return failure(result_code::invalid_record, name + " is still used by " + user);
    }
    return {};
}

} // namespace

auto check_consistency(
    const state& current, const std::map<entity_ref, std::optional<entity>>& before)
    -> common::result<void>
{
    for (const auto& [ref, old] : before) {
        const auto now = get_entity(current, ref);
        if (!now) {
            auto checked = check_removal(current, ref, old);
            if (!checked) {
                return checked;
            }
            continue;
        }
        const auto again = find_withdrawn(current, *now);
        if (!again.empty()) {
            return failure(result_code::version_withdrawn, "version " + again + " is withdrawn");
        }
        const auto found = std::visit(entity_check{current, old ? &*old : nullptr}, *now);
        if (!found.empty()) {
            return failure(result_code::invalid_record, to_string(ref) + ": " + found);
        }
    }
    return {};
}

} // namespace reedramp::inventory
