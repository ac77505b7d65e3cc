#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "common/units.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

using common::time_point;

/// The end of a registration, as sent to entries that have lost contact with the store.
struct ended_report {
    /// `hash_of` the server instance.
    std::uint64_t server = 0;
    /// Position in the server list's stream after the last record read.
    std::uint64_t read_to = 0;
};

/// Tracks server instances that announced that they leave, or whose registration ended: both for
/// reports to peers and for queries by this entry.
class departure_tracker {
public:
    auto note_leaving(const server_instance& instance, time_point now) -> void;

    /// Records an end that another entry reported, or that shows because another server answers at
    /// the address.
    auto note_ended(const server_instance& instance, time_point now) -> void;

    /// Records the end of a registration that this entry read, to be reported to peers. `read_to`
    /// as in `ended_report`.
    auto note_end_read(const server_instance& instance, std::uint64_t read_to, time_point now)
        -> void;

    /// Hashes of the most recent instances that announced that they leave.
    [[nodiscard]] auto leaving() const -> std::vector<std::uint64_t>;

    /// Registrations that ended within the last seconds.
    [[nodiscard]] auto ended(time_point now) const -> std::vector<ended_report>;

    /// Whether this instance ended within the last minutes.
    [[nodiscard]] auto has_ended(const server_instance& instance) const -> bool;

    /// Removes what need no longer be reported to peers.
    auto expire_reports(time_point now) -> void;

private:
    struct left_server {
        std::uint64_t hash = 0;
        time_point at;
    };

    struct ended_server {
        ended_report report;
        time_point at;
    };

    /// Newest last, in both queues.
    std::deque<left_server> newest_leaving;
    std::deque<ended_server> newest_ended;
    /// Instances that ended. A store restored from an older copy may list them as ready.
    std::deque<left_server> ended_instances;
};

/// How long a server that left is remembered after the last report of it. Older reports keep
/// arriving for some seconds, from a store whose list lags or from a peer that was paused.
inline constexpr std::chrono::minutes left_retention{5};

/// Maximum number of departed servers that are remembered (0.6 MB): enough for all of the 620
/// servers that the design is for to be replaced twice within five minutes.
inline constexpr std::size_t max_left = 2048;

} // namespace reedramp::routing
