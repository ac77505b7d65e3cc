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

/// Records of the configuration stream, and their JSON text.
namespace reedramp::inventory {

using entity = std::variant<model, version, backend_server, service, organisation, rollout>;

/// Adds an entity or replaces it whole. Its `changed` is ignored.
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
    /// The offset up to which the author had seen the log when deciding on the changes.
    common::log_offset base;
    std::vector<change> changes;
};

/// Errors: `invalid_record`, with the path of the member that is wrong.
auto parse_record(std::string_view text) -> common::result<record>;

auto format_record(const record& item) -> std::string;

/// What folding the record onto `base` would give, without an append: `check` for operators.
/// Errors: those of `apply`.
auto check_record(const state& base, const record& item) -> common::result<state>;

auto ref_of(const entity& item) -> entity_ref;

/// "version v2"; used in messages to operators.
auto to_string(const entity_ref& item) -> std::string;
auto to_string(entity_kind kind) -> std::string_view;

/// An entity as JSON text with `changed`; empty if there is none.
auto entity_text(const state& current, const entity_ref& item) -> std::string;

/// The whole state as JSON text; equal states give equal text.
auto state_text(const state& current) -> std::string;

/// One row of a comparison of two states.
struct difference {
    entity_ref entity;
    /// JSON text before and after; empty if the entity is not there.
    std::string before;
    std::string after;
};

auto compare(const state& before, const state& after) -> std::vector<difference>;

} // namespace reedramp::inventory
