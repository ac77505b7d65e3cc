#pragma once

#include <map>
#include <optional>
#include <set>

#include "inventory/record.hpp"
#include "inventory/state.hpp"

/// Reading and writing of a state's entities by reference, for the fold.
namespace reedramp::inventory {

auto get_entity(const state& current, const entity_ref& item) -> std::optional<entity>;

/// Adds or replaces the entity, and its API keys in the index.
auto set_entity(state& current, entity item) -> void;

auto erase_entity(state& current, const entity_ref& item) -> void;

/// Makes the index of API keys anew.
auto index_keys(state& current) -> void;

auto all_refs(const state& current) -> std::set<entity_ref>;

/// Changes to a state that can be taken back, so that a record whose last change is invalid leaves
/// nothing behind.
class state_edit {
public:
    explicit state_edit(state& target) : current(target) {}

    auto put(entity item, common::log_offset at) -> void;
    auto remove(const entity_ref& item, common::log_offset at) -> void;
    auto withdraw(const common::version_id& id, common::log_offset at) -> void;

    /// Takes back all changes.
    auto undo() -> void;

    /// Each touched entity as it was before; nullopt if it was not there.
    [[nodiscard]] auto before() const -> const std::map<entity_ref, std::optional<entity>>&
    {
        return this->images;
    }

private:
    auto keep_image(const entity_ref& item) -> void;

    state& current;
    std::map<entity_ref, std::optional<entity>> images;
    std::map<entity_ref, std::optional<common::log_offset>> removals;
    std::set<common::version_id> new_withdrawals;
};

/// Whether the touched entities fit to the rest of the state: what they name exists, and nothing
/// names what is gone. Returns the first problem with its code.
auto check_consistency(
    const state& current, const std::map<entity_ref, std::optional<entity>>& before)
    -> common::result<void>;

} // namespace reedramp::inventory
