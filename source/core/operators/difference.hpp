#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "inventory/state.hpp"

namespace reedramp::operators {

enum class difference_kind : std::uint8_t { added, removed, changed, withdrawn };

/// A changed member of an entity; both values are JSON text, empty if absent.
struct member_difference {
    std::string name;
    std::string before;
    std::string after;
};

/// Effect of a record on one entity.
struct entity_difference {
    difference_kind kind = difference_kind::changed;
    /// Kind and id, such as "version v2".
    std::string entity;
    std::vector<member_difference> members;
};

/// Compares two states by the members that operators write. The offset of an entity's last change
/// is ignored, so that a record which repeats the current values shows no difference.
auto differences(const inventory::state& before, const inventory::state& after)
    -> std::vector<entity_difference>;

auto difference_text(const std::vector<entity_difference>& rows) -> std::string;
auto difference_json(const std::vector<entity_difference>& rows) -> std::string;

} // namespace reedramp::operators
