#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "inventory/record.hpp"
#include "inventory/state.hpp"

namespace reedramp::operators {

/// Values from the command line that complete a record file.
struct draft_defaults {
    std::string author = "operator";
    common::wall_time_ms at;
    /// Overrides the base in the file.
    std::optional<common::log_offset> base;
};

/// A record read from a file in which id, author, time and base may be missing.
struct draft {
    inventory::record item;
    bool has_id = false;
    bool has_base = false;
};

/// Reads a record file. Errors: `invalid_record` with the path of the invalid member.
auto read_draft(std::string_view text, const draft_defaults& defaults) -> common::result<draft>;

/// Fills in missing members: `current_offset` as the base, and an id derived from base and changes.
/// A publication whose answer was lost is thus repeated under the same id, and the readers of the
/// log recognise the second copy as a duplicate.
auto complete_draft(draft item, common::log_offset current_offset) -> inventory::record;

/// Id from a hash of the record's base and changes. Independent of its author and time.
auto derive_record_id(const inventory::record& item) -> common::record_id;

/// Creates a record of `changes` with a derived id, based on `current_offset` unless `defaults` has
/// a base.
auto make_record(
    std::vector<inventory::change> changes,
    const draft_defaults& defaults,
    common::log_offset current_offset) -> inventory::record;

struct rollout_settings {
    std::string id;
    common::model_id model;
    common::version_id from;
    common::version_id to;
    common::permille share;
};

/// Share of the first step of the default roll-out steps.
auto default_first_share() -> common::permille;

auto make_rollout_changes(const rollout_settings& settings) -> std::vector<inventory::change>;

enum class rollout_action : std::uint8_t { pause, resume, abort };

/// Errors: `malformed_request`.
auto parse_rollout_action(std::string_view word) -> common::result<rollout_action>;

/// Changes that give the roll-out the status that `action` asks for; empty if it has that status
/// already. Errors: `not_found`.
auto change_rollout_status(
    const inventory::state& current, const std::string& id, rollout_action action)
    -> common::result<std::vector<inventory::change>>;

} // namespace reedramp::operators
