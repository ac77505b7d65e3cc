#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "platform/hooks.hpp"

namespace reedramp::operators {

/// In place of a number: the newest revision that any entry has.
inline constexpr std::string_view newest_revision = "latest";

/// Errors: `malformed_request`.
auto parse_revision(std::string_view word) -> common::result<common::log_offset>;

/// The offset of the configuration in force, from the metrics of an entry or an agent; nothing if
/// they do not show it.
auto configuration_offset(std::string_view metrics) -> std::optional<common::log_offset>;

/// Offset in the answer of `status`; 0 if there is none.
auto status_offset(std::string_view status) -> common::log_offset;

/// One process of the system, as far as the watch knows it.
struct watched_process {
    platform::host_entry row;
    /// Nothing until it has answered.
    std::optional<common::log_offset> offset;
    /// Why the last question had no answer; empty if it had one.
    std::string problem;
    /// When the revision was first seen in force there.
    std::optional<common::time_point> in_force_at;
};

/// Follows a revision until all live processes of the host list have it in force.
///
/// A process that leaves the list meanwhile is no longer waited for, and one that is added is: a
/// watch on fixed processes would wait for a replaced host for ever.
class watch {
public:
    watch(common::log_offset revision, common::time_point begin);

    auto take_hosts(const std::vector<platform::host_entry>& rows) -> void;
    auto take_metrics(
        const common::host_id& host,
        const common::result<std::string>& metrics,
        common::time_point now) -> void;

    /// Processes to ask now: those in which the revision is not in force yet.
    [[nodiscard]] auto waiting() const -> std::vector<watched_process>;
    [[nodiscard]] auto in_force() const -> std::size_t;

    [[nodiscard]] auto size() const -> std::size_t { return this->processes.size(); }

    /// False as long as no process is known.
    [[nodiscard]] auto complete() const -> bool;

    /// `ok`; else `peer_unavailable` if each process that lacks the revision did not answer, or
    /// `stale_configuration`.
    [[nodiscard]] auto outcome() const -> common::result<void>;

    [[nodiscard]] auto progress_text() const -> std::string;
    /// The processes, slowest first.
    [[nodiscard]] auto text() const -> std::string;
    [[nodiscard]] auto json() const -> std::string;

private:
    [[nodiscard]] auto slowest_first() const -> std::vector<watched_process>;
    [[nodiscard]] auto milliseconds(common::time_point when) const -> std::int64_t;

    common::log_offset revision;
    common::time_point begin;
    std::map<common::host_id, watched_process> processes;
};

} // namespace reedramp::operators
