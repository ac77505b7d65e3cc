#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "inventory/state.hpp"

namespace reedramp::operators {

enum class difference_kind : std::uint8_t { added, removed, changed, withdrawn };

/// One member of an entity, each side as JSON text.
struct member_difference {
    std::string name;
    std::string before;
    std::string after;
};

/// What a record does to one entity.
struct entity_difference {
    difference_kind kind = difference_kind::changed;
    /// As in "version v2".
    std::string entity;
    std::vector<member_difference> members;
};

/// Compares what operators write; the offset of an entity's last change is left out, so that a
/// record which says again what holds already shows no difference.
auto differences(const inventory::state& before, const inventory::state& after)
    -> std::vector<entity_difference>;

auto difference_text(const std::vector<entity_difference>& rows) -> std::string;
auto difference_json(const std::vector<entity_difference>& rows) -> std::string;

} // namespace reedramp::operators
