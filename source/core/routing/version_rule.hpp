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

} // namespace reedramp::routing
