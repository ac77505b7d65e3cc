#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/units.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

using common::time_point;

/// A server's limit, as read by one entry from a response and sent to its peers.
struct limit_report {
    /// `hash_of` the server instance.
    std::uint64_t server = 0;
    /// Requests per second from all entries together; empty if unlimited.
    std::optional<double> per_second;
    /// Time since the response.
    std::chrono::milliseconds age{0};
};

/// Effect of a statement about a server's limit.
enum class limit_change : std::uint8_t {
    none,
    /// The server has a limit from now on.
    imposed,
    /// The limit changed by more than a tenth.
    changed,
    /// The server has no limit any more.
    lifted,
};

/// Keeps the limits that servers state, in requests per second from all entries together.
///
/// A server states its limit in its responses for as long as it applies; the first response without
/// one lifts it. The newest response counts, whichever entry received it. Entries report only
/// responses that they received themselves: forwarded reports would appear younger with each hop,
/// and a lifted limit would keep circulating among many entries.
class server_limits {
public:
    /// Records a response that this entry received from the server.
    auto note(const server_instance& server, std::optional<double> per_second, time_point now)
        -> limit_change;

    /// Records a response with a malformed limit. Returns true the first time for a server.
    auto note_malformed(const server_instance& server) -> bool;

    /// Applies a peer's report.
    auto apply_report(const limit_report& report, time_point now) -> limit_change;

    /// Reports to send to peers, the newest first.
    [[nodiscard]] auto make_reports(time_point now) const -> std::vector<limit_report>;

    /// Whether any server has a limit.
    [[nodiscard]] auto has_any() const -> bool { return this->limited > 0; }

    /// Requests per second from all entries together; empty if unlimited.
    [[nodiscard]] auto per_second(const server_instance& server) const -> std::optional<double>;

    /// Removes old statements.
    auto forget_old(time_point now) -> void;

private:
    struct statement {
        std::optional<double> per_second;
        time_point said_at;
        /// Whether this entry received the response itself.
        bool is_own = false;
        /// The limit when a change was last announced.
        double last_announced = 0.0;
    };

    auto update(std::uint64_t server, const statement& newest) -> limit_change;

    /// By `hash_of` the server instance.
    std::unordered_map<std::uint64_t, statement> statements;
    /// Number of servers with a limit.
    std::size_t limited = 0;
    /// Servers that stated a malformed limit, by the same hash.
    std::unordered_set<std::uint64_t> malformed_seen;
};

} // namespace reedramp::routing
