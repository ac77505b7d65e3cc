#pragma once

#include <map>
#include <optional>
#include <set>

#include "inventory/record.hpp"
#include "inventory/state.hpp"

/// Access to a state's entities by reference, for the fold.
namespace reedramp::inventory {

auto get_entity(const state& current, const entity_ref& item) -> std::optional<entity>;

/// Adds or replaces the entity, and updates the index of API keys.
auto set_entity(state& current, entity item) -> void;

auto erase_entity(state& current, const entity_ref& item) -> void;

/// Rebuilds the index of API keys.
auto index_keys(state& current) -> void;

auto all_refs(const state& current) -> std::set<entity_ref>;

/// Applies changes to a state and can undo them, so that a record with an invalid change has no
/// effect.
class state_edit {
public:
    explicit state_edit(state& target) : current(target) {}

    auto put(entity item, common::log_offset at) -> void;
    auto remove(const entity_ref& item, common::log_offset at) -> void;
    auto withdraw(const common::version_id& id, common::log_offset at) -> void;

    /// Undoes all changes.
    auto undo() -> void;

    /// Each touched entity before the changes; nullopt if it did not exist.
    [[nodiscard]] auto before() const -> const std::map<entity_ref, std::optional<entity>>&
    {
        return this->originals;
    }

private:
    auto save_original(const entity_ref& item) -> void;

    state& current;
    std::map<entity_ref, std::optional<entity>> originals;
    std::map<entity_ref, std::optional<common::log_offset>> removals;
    std::set<common::version_id> new_withdrawals;
};

/// Checks the touched entities against the rest of the state: all entities that they refer to
/// exist, and no entity refers to a removed one. Returns the first problem as an error.
auto check_consistency(
    const state& current, const std::map<entity_ref, std::optional<entity>>& before)
    -> common::result<void>;

} // namespace reedramp::inventory
