#pragma once

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "common/ids.hpp"
#include "routing/server_table.hpp"

namespace reedramp::routing {

/// The versions on which a request may be executed.
struct version_rule {
    /// Only this version, if it has servers.
    std::optional<common::version_id> preferred;
    /// Never on these versions.
    std::set<common::version_id> barred;
    /// Fraction of the preferred version's servers over which requests are spread; see
    /// `keep_canaries`.
    double spread = 1.0;
    /// Whether one of the preferred version's servers is to be filled before the others; see
    /// `load_test_server`.
    bool needs_load_test = false;

    /// Whether there is no restriction, as while no roll-out runs.
    [[nodiscard]] auto allows_all() const -> bool
    {
        return !this->preferred && this->barred.empty();
    }

    [[nodiscard]] auto bars(const common::version_id& version) const -> bool
    {
        return this->barred.contains(version);
    }
};

/// Keeps the servers that the rule allows: only those of the preferred version if there are any.
auto keep_allowed(std::vector<const registration*>& usable, const version_rule& rule) -> void;

/// Keeps the fraction `spread` of the servers, at least one, the same at all entries. Servers for
/// which `is_out` returns true are left out, unless it does for all.
///
/// With its first share spread over all of its servers, a new version's servers are nearly idle and
/// answer three times as fast as the old version under its load, so that a version three times as
/// slow looks equal. On a fraction of its servers the new version is compared under the same load
/// as the old one.
auto keep_canaries(
    std::vector<const registration*>& usable,
    double spread,
    const std::function<auto(const registration&)->bool>& is_out) -> void;

/// Returns the server that is filled first, up to a high occupancy, so that a new version meets the
/// load that each server meets when callers are many: the same at all entries, and none for which
/// `is_out` returns true. Null if there is none.
///
/// A version that fails only under load answers like a good one on servers that share a small part
/// of the traffic. All callers were moved to it, and half of their requests failed in the next
/// burst.
auto load_test_server(
    const std::vector<const registration*>& usable,
    const std::function<auto(const registration&)->bool>& is_out) -> const registration*;

} // namespace reedramp::routing
