#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "router/return_checker.hpp"
#include "router/router_core.hpp"
#include "router/rules_follower.hpp"
#include "routing/list_journal.hpp"

namespace reedramp::router {

/// Part of the server list: the changes found by a reading of the store, or received from a
/// neighbour.
struct list_part {
    /// The changes are those after this position, up to `end`; without a value they are the whole
    /// list.
    std::optional<std::uint64_t> from;
    std::uint64_t end = 0;
    std::vector<routing::registration_change> changes;
};

/// Result of applying a part received from a neighbour.
enum class part_result : std::uint8_t {
    /// The list is now known up to the part's end.
    applied,
    /// The list was already known up to there.
    known,
    /// Changes between the known position and the part are missing.
    gap,
};

/// This entry's copy of the server list: applies readings of the store and parts received from
/// neighbours, keeps the newest changes for neighbours, and ends lapsed registrations.
///
/// During an outage of the store, registrations of servers that still work lapse. One that ends
/// soon after an outage is therefore kept for the time in which it would be renewed. An outage is a
/// time in which no entry had a response, see `routing::store_contact`; if only this entry is cut
/// off, nothing is kept.
class servers_list : public std::enable_shared_from_this<servers_list> {
public:
    using reading = stream_reading<routing::registration_change>;

    servers_list(std::shared_ptr<router_core> core, follower_options options);

    /// Applies a reading requested at `asked_at`. Returns the changes that neighbours need.
    auto apply_reading(const reading& found, time_point asked_at) -> list_part;

    /// Applies a neighbour's part. Its freshness is recorded separately by `list_freshness`.
    auto apply_neighbour_part(const list_part& handed) -> part_result;

    /// Returns the changes that an entry lacks whose list is known up to `position`, or the whole
    /// list.
    [[nodiscard]] auto part_since(std::optional<std::uint64_t> position) const -> list_part;

    /// Position up to which the list is known; none before the first reading.
    [[nodiscard]] auto known_to() const -> std::optional<std::uint64_t> { return this->position; }

    /// When a neighbour's part last advanced the position.
    [[nodiscard]] auto neighbour_part_applied_at() const -> time_point
    {
        return this->last_neighbour_part_at;
    }

    /// Resets the position, as the store has no history from there on. The next reading returns the
    /// whole list.
    auto reset_position() -> void
    {
        this->position_before_reset = std::exchange(this->position, {});
    }

private:
    /// What a set of changes says beside the changes themselves.
    struct reading_facts {
        bool is_whole = false;
        routing::record_source source = routing::record_source::current;
        /// All of its records were written after this time; none if that is unknown.
        std::optional<time_point> written_after;
    };

    /// Handles a reading that ends before the known position.
    auto apply_earlier_reading(std::uint64_t end, time_point asked_at) -> list_part;
    /// Applies the changes. Returns those that neighbours need.
    auto apply(const std::vector<routing::registration_change>& changes, const reading_facts& facts)
        -> std::vector<routing::registration_change>;
    auto
    apply(const routing::registration_change& change, const reading_facts& facts, time_point now)
        -> routing::table_event;
    auto lapse(const common::server_id& id, const routing::registration_end& end, time_point now)
        -> routing::table_event;
    /// What is known about the end of a server's registration, beside what the change says.
    [[nodiscard]] auto complete_end(
        const routing::registration_change& change,
        const reading_facts& facts,
        time_point now) const -> routing::registration_end;
    /// Applies a registration, or has its server asked first.
    auto apply_registration(
        const routing::registration_change& change, const reading_facts& facts, time_point now)
        -> routing::table_event;
    /// Uses a server that is back after its end.
    auto apply_confirmed(const routing::registration& read) -> void;
    /// Made at the first use, as it refers to this list.
    auto checker() -> return_checker&;
    /// Logs a registration that was written before the end of its instance, and reports that end to
    /// peers again.
    auto on_written_before_end(
        const routing::registration& read, const reading_facts& facts, time_point now) -> void;
    /// Sets the fields that depend on the time of the reading.
    [[nodiscard]] auto with_read_time(routing::registration read, time_point now) const
        -> routing::registration;
    /// Logs and counts a record that changed something or was not believed.
    auto log_event(
        routing::table_event event,
        const routing::registration_change& change,
        const std::string& more = {}) const -> void;
    /// Runs the work that follows every change, whatever its source.
    auto after_change(time_point now) -> void;
    /// End of the grace period of lapsed registrations, as known so far.
    [[nodiscard]] auto kept_until(time_point now) const -> time_point;
    auto remove_lapsed(time_point now) -> void;
    auto check_lapsed() -> void;
    /// Removes state of servers that are gone.
    auto remove_stale_state(time_point now) -> void;

    std::shared_ptr<router_core> core;
    follower_options options;
    std::optional<std::uint64_t> position;
    /// Position at the last reset. The whole list then read is compared with it, so that neighbours
    /// get only the changes since.
    std::optional<std::uint64_t> position_before_reset;
    /// When a neighbour's part last advanced the position.
    time_point last_neighbour_part_at{};
    /// When the last reading of this entry was requested.
    std::optional<time_point> last_asked_at;
    routing::list_journal journal;
    std::shared_ptr<return_checker> returns;
    bool is_check_scheduled = false;
    time_point last_sweep{};
};

} // namespace reedramp::router
