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

/// Keyword for the newest revision that any entry has, given instead of a number.
inline constexpr std::string_view latest_revision_keyword = "latest";

/// Reads a revision number. Errors: `malformed_request`.
auto parse_revision(std::string_view word) -> common::result<common::log_offset>;

/// Reads the offset of the configuration in force from the metrics of an entry or an agent; empty
/// if they do not contain it.
auto parse_configuration_offset(std::string_view metrics) -> std::optional<common::log_offset>;

/// Reads the offset from an entry's answer to `status`; 0 if it contains none.
auto parse_status_offset(std::string_view status) -> common::log_offset;

/// An entry or agent and the configuration that it last reported.
struct watched_process {
    platform::host_entry row;
    /// Empty until the process has answered.
    std::optional<common::log_offset> offset;
    /// Why the last query failed; empty if it succeeded.
    std::string problem;
    /// When the process was first seen with the revision in force.
    std::optional<common::time_point> in_force_at;
};

/// Tracks a revision until all live processes of the host list have it in force.
///
/// Processes that leave the list are dropped and new ones are added: with a fixed set of processes,
/// the watch would wait forever for a host that has been replaced.
class revision_watch {
public:
    revision_watch(common::log_offset revision, common::time_point begin);

    auto update_hosts(const std::vector<platform::host_entry>& rows) -> void;
    auto apply_metrics(
        const common::host_id& host,
        const common::result<std::string>& metrics,
        common::time_point now) -> void;

    /// Processes to query: those in which the revision is not in force yet.
    [[nodiscard]] auto pending_processes() const -> std::vector<watched_process>;
    [[nodiscard]] auto in_force_count() const -> std::size_t;

    [[nodiscard]] auto size() const -> std::size_t { return this->processes.size(); }

    /// True if the revision is in force in all processes; false if no process is known.
    [[nodiscard]] auto complete() const -> bool;

    /// Success if complete. Errors: `peer_unavailable` if no process is known or the last query of
    /// every pending process failed, else `stale_configuration`.
    [[nodiscard]] auto outcome() const -> common::result<void>;

    [[nodiscard]] auto progress_text() const -> std::string;
    /// Table of the processes, slowest first, and the progress.
    [[nodiscard]] auto text() const -> std::string;
    [[nodiscard]] auto json() const -> std::string;

private:
    [[nodiscard]] auto slowest_first() const -> std::vector<watched_process>;
    [[nodiscard]] auto milliseconds_since_begin(common::time_point when) const -> std::int64_t;

    common::log_offset revision;
    common::time_point begin;
    std::map<common::host_id, watched_process> processes;
};

} // namespace reedramp::operators
