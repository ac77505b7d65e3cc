#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "inventory/entities.hpp"
#include "inventory/state.hpp"

/// Records of the configuration stream and their JSON format.
namespace reedramp::inventory {

using entity = std::variant<model, version, backend_server, service, organisation, rollout>;

/// Adds an entity or replaces it as a whole. The value's `changed` is ignored.
struct put_change {
    entity value;
};

struct remove_change {
    entity_ref target;
};

struct withdraw_change {
    common::version_id version;
};

using change = std::variant<put_change, remove_change, withdraw_change>;

struct record {
    common::record_id id;
    std::string author;
    common::wall_time_ms at;
    /// Offset up to which the author had read the log when making the changes.
    common::log_offset base;
    std::vector<change> changes;
};

/// Parses the JSON text of a record. The error is `invalid_record`, with the path of the invalid
/// member.
auto parse_record(std::string_view text) -> common::result<record>;

auto format_record(const record& item) -> std::string;

/// Returns the state after folding the record onto `base`, without appending it; used by the
/// operators' `check`. Errors: those of `apply`.
auto check_record(const state& base, const record& item) -> common::result<state>;

auto ref_of(const entity& item) -> entity_ref;

/// Formats a reference as in "version v2", for messages to operators.
auto to_string(const entity_ref& item) -> std::string;
auto to_string(entity_kind kind) -> std::string_view;

/// An entity as JSON text, including `changed`; empty if it does not exist.
auto entity_text(const state& current, const entity_ref& item) -> std::string;

/// The whole state as JSON text. Equal states have equal texts.
auto state_text(const state& current) -> std::string;

/// An entity that differs between two states.
struct difference {
    entity_ref entity;
    /// JSON text before and after; empty if the entity does not exist.
    std::string before;
    std::string after;
};

/// Returns the entities that differ between the two states.
auto compare(const state& before, const state& after) -> std::vector<difference>;

} // namespace reedramp::inventory
