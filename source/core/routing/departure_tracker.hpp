#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "common/units.hpp"
#include "routing/registration.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

/// The end of a registration, as sent to peers.
struct ended_report {
    /// `hash_of` the server instance.
    std::uint64_t server = 0;
    /// Position in the server list's stream after the last record read.
    std::uint64_t read_to = 0;
    registration_end end{};
};

/// Where a registration was read, which bounds its age.
enum class record_source : std::uint8_t {
    /// The store or a neighbour: written some seconds ago at most.
    current,
    /// A store that was just restored from an older copy.
    older_copy,
};

/// Tracks server instances that announced that they leave, or whose registration ended: both for
/// reports to peers and for queries by this entry.
class departure_tracker {
public:
    /// An instance that ended within the last minutes.
    struct ended_instance {
        registration_end end;
        time_point at;
    };

    auto note_leaving(const server_instance& instance, time_point now) -> void;

    /// Records an end that a peer reported, or that shows because another server answers at the
    /// address. Of several reports on an instance the one with the latest registration counts.
    auto note_ended(std::uint64_t instance_hash, const registration_end& end, time_point now)
        -> void;

    /// Records the end of a registration that this entry read, to be reported to peers. `read_to`
    /// as in `ended_report`.
    auto note_end_read(
        const server_instance& instance,
        const registration_end& end,
        std::uint64_t read_to,
        time_point now) -> void;

    /// Reports an end to peers again, as a record from before it was read: an entry that starts now
    /// may know that record alone.
    auto report_again(const server_instance& instance, std::uint64_t read_to, time_point now)
        -> void;

    /// Hashes of the most recent instances that announced that they leave.
    [[nodiscard]] auto leaving() const -> std::vector<std::uint64_t>;

    /// Registrations that ended within the last seconds.
    [[nodiscard]] auto ended(time_point now) const -> std::vector<ended_report>;

    /// What is known about the end of the registration's instance, if that was written before the
    /// end and so does not show that the instance is back.
    [[nodiscard]] auto
    end_after(const registration& read, time_point now, record_source source) const
        -> std::optional<ended_instance>;

    /// When the instance ended, if that is known and so recent that a registration from before it
    /// may still appear.
    [[nodiscard]] auto recent_end_of(const server_instance& instance, time_point now) const
        -> std::optional<time_point>;

    /// Removes what need no longer be reported to peers, or known.
    auto expire(time_point now) -> void;

private:
    struct left_server {
        std::uint64_t hash = 0;
        time_point at;
    };

    struct ended_server {
        ended_report report;
        time_point at;
    };

    auto report(const ended_report& end, time_point now) -> void;

    /// Newest last, in both queues.
    std::deque<left_server> newest_leaving;
    std::deque<ended_server> newest_ended;
    /// By `hash_of` the instance.
    std::unordered_map<std::uint64_t, ended_instance> ended_instances;
};

/// How long a server that left is remembered after the last report of it. Older reports keep
/// arriving for some seconds, from a store whose list lags or from a peer that was paused.
inline constexpr std::chrono::minutes left_retention{5};

/// Maximum number of departed servers that are remembered (0.6 MB): enough for all of the 620
/// servers that the design is for to be replaced twice within five minutes.
inline constexpr std::size_t max_left = 2048;

/// The store performs a write that it has not answered some seconds late. Nothing that was written
/// before a registration ended is read later than this after the end.
inline constexpr std::chrono::seconds late_write_window{10};

} // namespace reedramp::routing
