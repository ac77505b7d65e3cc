#pragma once

#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "common/ids.hpp"
#include "routing/server_table.hpp"

namespace reedramp::routing {

/// Which versions a request may run on.
struct version_rule {
    /// Only this one, if it has servers.
    std::optional<common::version_id> preferred;
    /// Never these.
    std::set<common::version_id> barred;
    /// The part of the preferred version's servers that share its work; see `keep_canaries`.
    double spread = 1.0;

    /// As while no roll-out runs.
    [[nodiscard]] auto allows_all() const -> bool
    {
        return !this->preferred && this->barred.empty();
    }

    [[nodiscard]] auto bars(const common::version_id& version) const -> bool
    {
        return this->barred.contains(version);
    }
};

/// Leaves the servers that the rule allows. Those of the preferred version, if there are any.
auto keep_allowed(std::vector<const registration*>& usable, const version_rule& rule) -> void;

/// Leaves `spread` of the servers, at least one, the same in all entries; of those that
/// `is_out` names none, unless it names all.
///
/// A new version's first share on all of its servers leaves each all but idle: it answers three
/// times as fast as the old one under its load, so that a version three times as slow looks alike.
/// On its part of the servers it is compared at the
/// load that the old one has.
auto keep_canaries(
    std::vector<const registration*>& usable,
    double spread,
    const std::function<auto(const registration&)->bool>& is_out) -> void;

} // namespace reedramp::routing
