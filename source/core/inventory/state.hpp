#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "inventory/entities.hpp"

namespace reedramp::inventory {

/// Maximum number of record outcomes kept in a state. A constant rather than a setting: the outcome
/// of a record depends on it and must be the same in all processes.
inline constexpr std::size_t max_recent_outcomes = 1024;

/// Maximum number of refused or malformed records that a state lists for operators.
inline constexpr std::size_t max_problems = 64;

/// Maximum number of touched entities listed in an outcome; `record_outcome::touched_count` counts
/// all of them.
inline constexpr std::size_t max_named_entities = 16;

/// Outcome of one record of the log.
struct record_outcome {
    /// Empty for a malformed record.
    common::record_id id;
    common::log_offset offset;
    std::string author;
    common::wall_time_ms at;
    /// `ok`, `conflict`, `invalid_record`, `version_withdrawn` or `bad_checkpoint`.
    common::result_code code = common::result_code::ok;
    std::string why;
    std::vector<entity_ref> touched;
    std::size_t touched_count = 0;

    auto operator==(const record_outcome&) const -> bool = default;
};

/// The configuration as of one offset of the log. Except for `withdrawn_early`, it is a pure
/// function of the log's records up to that offset.
struct state {
    /// Offset of the last record folded, 0 before the first.
    common::log_offset offset;
    /// State offset of the newest valid checkpoint among the records folded.
    common::log_offset checkpoint;
    /// A record with a smaller base is refused, since removals and outcomes before this offset are
    /// no longer known.
    common::log_offset base_floor;

    std::map<common::model_id, model> models;
    std::map<common::version_id, version> versions;
    std::map<common::server_id, backend_server> servers;
    std::map<common::service_name, service> services;
    std::map<common::organisation_id, organisation> organisations;
    std::map<std::string, rollout> rollouts;

    /// Entities removed since `base_floor`, with the offset of the removal.
    std::map<entity_ref, common::log_offset> removed;
    /// Withdrawn versions with the offset of the withdrawal. Only grows.
    std::map<common::version_id, common::log_offset> withdrawn;
    /// Outcomes of the last well-formed records, oldest first.
    std::deque<record_outcome> recent;
    /// The last records that were refused or malformed, oldest first.
    std::deque<record_outcome> problems;

    /// Withdrawals by an operator here or from peers that are in force but not in the log yet. Not
    /// part of the digest.
    std::set<common::version_id> withdrawn_early;
    /// Owner of each API key hash, derived from `organisations`.
    std::map<std::string, common::organisation_id> key_owners;

    [[nodiscard]] auto is_withdrawn(const common::version_id& id) const -> bool;

    /// Outcome of the record with this id in `recent`; null if there is none.
    [[nodiscard]] auto find_outcome(const common::record_id& id) const -> const record_outcome*;

    /// Outcome of the record at this offset in `recent`; null if there is none.
    [[nodiscard]] auto find_outcome_at(common::log_offset at) const -> const record_outcome*;

    /// Offset of the last change or removal of an entity; 0 if it is unknown or its removal is no
    /// longer in `removed`.
    [[nodiscard]] auto changed_at(const entity_ref& item) const -> common::log_offset;

    auto operator==(const state&) const -> bool = default;
};

/// An immutable state, shared by its readers.
using snapshot_ptr = std::shared_ptr<const state>;

} // namespace reedramp::inventory
