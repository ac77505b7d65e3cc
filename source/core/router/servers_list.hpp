#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "router/router_core.hpp"
#include "router/rules_follower.hpp"
#include "routing/list_journal.hpp"

namespace reedramp::router {

/// A part of the servers' list: what a reading of the store changed, or what a neighbour hands on.
struct list_part {
    /// The changes are those after this position, up to `end`. Without it they are the whole list.
    std::optional<std::uint64_t> from;
    std::uint64_t end = 0;
    std::vector<routing::registration_change> changes;
};

/// What a part handed on by a neighbour did.
enum class list_step : std::uint8_t {
    /// The list is known up to the part's end now.
    taken,
    /// It was known up to there before.
    known,
    /// Changes between what is known and the part are missing.
    gap,
};

/// The servers' list at this entry: takes in what is read from the store or handed on by a
/// neighbour, keeps the newest changes for neighbours, and ends what has lapsed.
///
/// While the store is away, registrations lapse of servers that work on. One that ends soon after
/// an outage is therefore kept for the time in which it would be back. An outage is what no entry
/// had an answer in, see `routing::store_contact`; a cut of this entry alone keeps nothing.
class servers_list : public std::enable_shared_from_this<servers_list> {
public:
    using reading = stream_reading<routing::registration_change>;

    servers_list(std::shared_ptr<router_core> core, follower_options options);

    /// The store's answer to a question sent at `asked_at`. Gives what it changed, for neighbours.
    auto take_reading(const reading& found, time_point asked_at) -> list_part;

    /// A neighbour's part. What it rests on is heard apart, by `list_freshness`.
    auto take_over(const list_part& handed) -> list_step;

    /// What an entry needs that knows the list up to `position`, or none of it.
    [[nodiscard]] auto part_since(std::optional<std::uint64_t> position) const -> list_part;

    /// Position up to which the list is known; none before the first reading.
    [[nodiscard]] auto known_to() const -> std::optional<std::uint64_t> { return this->position; }

    /// When a neighbour last moved that.
    [[nodiscard]] auto handed_at() const -> time_point { return this->taken_over_at; }

    /// The store has no history from there on; the next reading is of the whole list.
    auto forget_position() -> void { this->forgotten = std::exchange(this->position, {}); }

private:
    /// The store's answer ends before what is known.
    auto take_earlier(std::uint64_t end, time_point asked_at) -> list_part;
    /// Takes the changes in; gives those that neighbours have to know of.
    auto apply(const std::vector<routing::registration_change>& changes, bool is_whole)
        -> std::vector<routing::registration_change>;
    /// Without the servers that have ended: in an older copy of the store they stand as they did.
    /// One that lives writes again.
    [[nodiscard]] auto without_ended(const std::vector<routing::registration_change>& changes) const
        -> std::vector<routing::registration_change>;
    auto apply(const routing::registration_change& change, time_point now) -> routing::table_event;
    auto lapse(const common::server_id& id, time_point now) -> routing::table_event;
    /// Sets what depends on the moment of the reading.
    [[nodiscard]] auto as_read(routing::registration read, time_point now) const
        -> routing::registration;
    /// One line and one count for a word that changed something or was not believed.
    auto tell(
        routing::table_event event,
        const routing::registration_change& change,
        const std::string& more = {}) const -> void;
    /// What follows each change, wherever it came from.
    auto settle(time_point now) -> void;
    /// Until when ended registrations are kept, as far as is known now.
    [[nodiscard]] auto kept_until(time_point now) const -> time_point;
    auto remove_lapsed(time_point now) -> void;
    auto check_lapsed() -> void;
    /// Forgets what belongs to servers that have gone.
    auto sweep(time_point now) -> void;

    std::shared_ptr<router_core> core;
    follower_options options;
    std::optional<std::uint64_t> position;
    /// Where the list stood when its position was forgotten: what the whole list then changes is
    /// what came after that, and neighbours need no more.
    std::optional<std::uint64_t> forgotten;
    /// When a neighbour last moved the position.
    time_point taken_over_at{};
    routing::list_journal journal;
    bool checks_lapsed = false;
    time_point swept_at{};
};

} // namespace reedramp::router
