#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "routing/server_speed_tracker.hpp"

namespace reedramp::routing {

using common::time_point;

/// Servers in one report to peers.
constexpr std::size_t max_reported_speeds = 8;

/// Returns reports on the servers whose hashes come next after `after`, wrapping around at the end.
auto next_speed_reports(
    const std::map<common::service_name, server_speed_tracker>& speeds, std::uint64_t after)
    -> std::vector<speed_report>;

/// Speeds of servers as peers report them from their own samples. An entry alone gets a sample of a
/// server in several seconds; all entries together get several samples per second.
///
/// Peers' rows are summed on arrival, so that a lookup does not depend on the number of entries.
class peer_speed_table {
public:
    /// Replaces the peer's earlier rows of these servers. Rows without samples, or with impossible
    /// values, are ignored.
    auto apply_reports(
        const common::host_id& peer, const std::vector<speed_report>& rows, time_point now) -> void;

    /// Mean of the rows that have not expired, weighted by their samples.
    [[nodiscard]] auto pace_of(const server_instance& server, time_point now) const -> pace;

    /// Removes the rows of servers for which `is_gone` returns true of the hash of the instance.
    auto forget_if(const std::function<auto(std::uint64_t server)->bool>& is_gone) -> void;

private:
    struct row {
        std::size_t peer = 0;
        time_point expires_at;
        pace reported;
    };

    struct server_rows {
        std::vector<row> rows;
        double weighted_sum = 0.0;
        double samples = 0.0;
    };

    /// When a row expires, unless the peer has replaced it since.
    struct expiry {
        time_point at;
        std::uint64_t server = 0;
        std::size_t peer = 0;
    };

    auto set(std::uint64_t server, const row& newest) -> void;
    auto expire(time_point now) const -> void;

    // Expiry depends on the clock alone, so const lookups update these too.
    mutable std::unordered_map<std::uint64_t, server_rows> servers;
    /// In the order of time, since all rows count for the same time.
    mutable std::deque<expiry> expiries;
};

} // namespace reedramp::routing
