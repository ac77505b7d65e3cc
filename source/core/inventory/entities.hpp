#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"

/// The configuration that operators publish (models, versions, backend servers, services,
/// organisations, roll-outs), and the fold of the log's records into the state in force.
///
/// Entities hold only integers. A floating-point number may change in its last digit when it is
/// written to a checkpoint and read back, and the digests of two processes would then differ.
namespace reedramp::inventory {

enum class entity_kind : std::uint8_t { model, version, server, service, organisation, rollout };

/// Identifies an entity by its kind and id.
struct entity_ref {
    entity_kind kind = entity_kind::model;
    std::string id;

    auto operator<=>(const entity_ref&) const = default; // NOLINT(modernize-use-nullptr)
};

/// A model that callers request by name; its versions serve the requests.
struct model {
    common::model_id id;
    /// Offset of the last record that changed the entity; every kind of entity has this field.
    common::log_offset changed;

    auto operator==(const model&) const -> bool = default;
};

/// Stage set by operators; `rules::stage_of` also considers roll-outs and withdrawals.
enum class version_stage : std::uint8_t { stable, rollout, withdrawn };

/// Whether a version takes new work while the configuration isn't known to be current.
enum class stale_rule : std::uint8_t {
    /// Refuse if the version is being rolled out or is sensitive; serve otherwise.
    by_stage,
    serve,
    refuse,
};

/// Prior of a version's quality before any rating: equivalent to `weight` ratings with this mean.
struct quality_prior {
    common::permille mean{500};
    std::uint32_t weight = 1;

    auto operator==(const quality_prior&) const -> bool = default;
};

struct version {
    common::version_id id;
    common::model_id model;
    /// Prices per million tokens.
    common::micro_money prompt_price;
    common::micro_money completion_price;
    /// `stable` or `rollout`; withdrawals are in `state::withdrawn`.
    version_stage stage = version_stage::stable;
    bool sensitive = false;
    stale_rule when_stale = stale_rule::by_stage;
    quality_prior prior;
    common::log_offset changed;

    auto operator==(const version&) const -> bool = default;
};

enum class server_kind : std::uint8_t { engine, service };

struct backend_server {
    common::server_id id;
    common::host_id host;
    common::data_centre_id data_centre;
    common::region_id region;
    server_kind kind = server_kind::engine;
    /// Versions that an engine may load; empty for a service.
    std::vector<common::version_id> versions;
    /// Empty for an engine.
    common::service_name service;
    /// Whether the engine refuses an order with an old fencing number.
    bool checks_fencing = false;
    common::log_offset changed;

    auto operator==(const backend_server&) const -> bool = default;
};

/// A service other than a model engine. A method that is in neither list runs at most once.
struct service {
    common::service_name name;
    /// HTTP methods, in upper case, that may be repeated after an unknown outcome.
    std::vector<std::string> idempotent_methods;
    std::vector<std::string> at_most_once_methods;
    common::log_offset changed;

    auto operator==(const service&) const -> bool = default;
};

/// An organisation's requirements for one task; the rule with an empty task applies to all others.
struct task_rule {
    common::task_name task;
    /// Minimum mean rating.
    common::permille quality_target;
    /// Maximum price per million completion tokens; 0 for no limit.
    common::micro_money price_ceiling;

    auto operator==(const task_rule&) const -> bool = default;
};

/// Limits per minute; 0 for no limit.
struct minute_limits {
    std::uint64_t requests = 0;
    common::token_count tokens;
    common::micro_money money;

    auto operator==(const minute_limits&) const -> bool = default;
};

struct organisation {
    common::organisation_id id;
    /// Lower-case hexadecimal SHA-256 of each API key.
    std::vector<std::string> key_hashes;
    std::vector<common::model_id> models;
    /// If it lists versions of an allowed model, only these versions of that model are allowed.
    std::vector<common::version_id> versions;
    std::vector<common::service_name> services;
    std::vector<task_rule> tasks;
    minute_limits limits;
    common::log_offset changed;

    auto operator==(const organisation&) const -> bool = default;
};

enum class rollout_status : std::uint8_t { running, paused, aborted, completed };

/// Moves the new sessions of a model from one version to another in steps.
struct rollout {
    std::string id;
    common::model_id model;
    common::version_id from;
    common::version_id to;
    /// Share of new sessions that go to `to`.
    common::permille share;
    std::uint32_t step = 0;
    rollout_status status = rollout_status::running;
    common::log_offset changed;

    auto operator==(const rollout&) const -> bool = default;
};

} // namespace reedramp::inventory
