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

/// A session that one entry keeps on an old version, as it tells its peers.
struct session_report {
    /// Hash of the session's name.
    std::uint64_t session = 0;
    /// How long the session still belongs to that version if nothing more comes of it.
    std::chrono::milliseconds left{0};
};

/// On which version each session was last served, by this entry and by its peers.
///
/// A caller's requests reach several entries: the balancer spreads connections, and retries go
/// elsewhere. An entry that knew only its own requests would take a session that another entry has
/// just served on the old version for a new one, and move it in the middle of a talk. So while a
/// roll-out may not move sessions, entries tell each other which of those that its share would move
/// are on an old version.
class session_table {
public:
    /// Requests of a session belong together when one comes within `session_time` of another's end.
    explicit session_table(common::duration session_time) : time(session_time) {}

    auto note_sent(
        const common::service_name& service,
        std::uint64_t session,
        const common::version_id& version,
        time_point now) -> void;

    /// A send of the session has ended.
    auto note_ended(const common::service_name& service, std::uint64_t session, time_point now)
        -> void;

    /// The version on which this entry served the session, while it lasts.
    [[nodiscard]] auto
    version_of(const common::service_name& service, std::uint64_t session, time_point now) const
        -> std::optional<common::version_id>;

    /// Sessions of the service that last and are neither on `target` nor left out by `is_meant`,
    /// `most` of them at the most.
    [[nodiscard]] auto on_other_versions(
        const common::service_name& service,
        const common::version_id& target,
        const std::function<auto(std::uint64_t session)->bool>& is_meant,
        std::size_t most,
        time_point now) const -> std::vector<session_report>;

    /// How many sessions of the service last on other versions than `target`.
    [[nodiscard]] auto count_on_other_versions(
        const common::service_name& service, const common::version_id& target, time_point now) const
        -> std::size_t;

    /// A peer keeps these sessions on an old version.
    auto hear(
        const common::service_name& service,
        const std::vector<session_report>& told,
        time_point now) -> void;

    /// Whether a peer keeps the session on an old version.
    [[nodiscard]] auto is_old_elsewhere(
        const common::service_name& service, std::uint64_t session, time_point now) const -> bool;

private:
    struct last_use {
        common::version_id version;
        unsigned under_way = 0;
        time_point until;

        [[nodiscard]] auto lasts(time_point now) const -> bool
        {
            return this->under_way > 0 || this->until > now;
        }
    };

    using session_key = std::pair<common::service_name, std::uint64_t>;

    auto sweep(time_point now) -> void;

    common::duration time;
    std::map<session_key, last_use> sessions;
    /// Until when a peer's session belongs to an old version.
    std::map<session_key, time_point> elsewhere;
    time_point swept{};
};

} // namespace reedramp::routing
