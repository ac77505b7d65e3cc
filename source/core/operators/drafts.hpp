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

/// What the command line adds to a record file.
struct draft_defaults {
    std::string author = "operator";
    common::wall_time_ms at;
    /// Goes before the file's own base.
    std::optional<common::log_offset> base;
};

/// A record file, in which id, author, time and base may be missing.
struct draft {
    inventory::record item;
    bool has_id = false;
    bool has_base = false;
};

/// Errors: `invalid_record` with the path of the member that is wrong.
auto read_draft(std::string_view text, const draft_defaults& defaults) -> common::result<draft>;

/// Fills in what is missing: the base is then the state's offset, and the id is made from base and
/// changes. A publication whose answer was lost is thus repeated under the same id, and the log's
/// readers take the second copy for what it is.
auto finish(draft item, common::log_offset seen) -> inventory::record;

auto derived_id(const inventory::record& item) -> common::record_id;

/// A record of `changes` onto `seen`, with a derived id.
auto make_record(
    std::vector<inventory::change> changes, const draft_defaults& defaults, common::log_offset seen)
    -> inventory::record;

struct rollout_start {
    std::string id;
    common::model_id model;
    common::version_id from;
    common::version_id to;
    common::permille share;
};

/// The share of a roll-out's first step.
auto first_share() -> common::permille;

auto start_rollout(const rollout_start& wanted) -> std::vector<inventory::change>;

enum class rollout_verb : std::uint8_t { pause, resume, abort };

/// Errors: `malformed_request`.
auto parse_rollout_verb(std::string_view word) -> common::result<rollout_verb>;

/// Empty if the roll-out is in the wanted status already. Errors: `not_found`.
auto steer_rollout(const inventory::state& current, const std::string& id, rollout_verb verb)
    -> common::result<std::vector<inventory::change>>;

} // namespace reedramp::operators
