#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "common/hooks.hpp"
#include "common/ids.hpp"

namespace reedramp::routing {

using common::time_point;

/// A session that one entry keeps on an old version, as sent to peers.
struct session_report {
    /// Hash of the session's name.
    std::uint64_t session = 0;
    /// How long the session stays on that version without further requests.
    std::chrono::milliseconds left{0};
};

/// The version that last served each session, at this entry and at its peers.
///
/// A caller's requests reach several entries: the load balancer distributes connections, and
/// retries go to other entries. An entry that knew only its own requests would treat a session that
/// another entry has just served on the old version as new, and move it in the middle of a
/// conversation. While a roll-out may not move sessions, entries therefore report which of the
/// sessions in its share are on an old version.
class session_table {
public:
    /// Requests of a session belong together if one arrives within `session_time` of the end of
    /// another.
    explicit session_table(common::duration session_time) : time(session_time) {}

    auto note_sent(
        const common::service_name& service,
        std::uint64_t session,
        const common::version_id& version,
        time_point now) -> void;

    /// Records the end of a send of the session.
    auto note_ended(const common::service_name& service, std::uint64_t session, time_point now)
        -> void;

    /// Returns the version on which this entry served the session, if the session is still active.
    [[nodiscard]] auto
    version_of(const common::service_name& service, std::uint64_t session, time_point now) const
        -> std::optional<common::version_id>;

    /// Returns at most `most` active sessions of the service that are not on `target` and that
    /// `is_meant` selects.
    [[nodiscard]] auto on_other_versions(
        const common::service_name& service,
        const common::version_id& target,
        const std::function<auto(std::uint64_t session)->bool>& is_meant,
        std::size_t most,
        time_point now) const -> std::vector<session_report>;

    /// Number of active sessions of the service on versions other than `target`.
    [[nodiscard]] auto count_on_other_versions(
        const common::service_name& service, const common::version_id& target, time_point now) const
        -> std::size_t;

    /// Records sessions that a peer keeps on an old version.
    auto apply_reports(
        const common::service_name& service,
        const std::vector<session_report>& reports,
        time_point now) -> void;

    /// Whether a peer keeps the session on an old version.
    [[nodiscard]] auto
    is_old_at_peer(const common::service_name& service, std::uint64_t session, time_point now) const
        -> bool;

private:
    struct last_use {
        common::version_id version;
        unsigned in_flight = 0;
        time_point until;

        [[nodiscard]] auto is_active(time_point now) const -> bool
        {
            return this->in_flight > 0 || this->until > now;
        }
    };

    using session_key = std::pair<common::service_name, std::uint64_t>;

    auto sweep(time_point now) -> void;

    common::duration time;
    std::map<session_key, last_use> sessions;
    /// Until when a peer's session stays on an old version.
    std::map<session_key, time_point> peer_sessions;
    time_point swept_at{};
};

} // namespace reedramp::routing
