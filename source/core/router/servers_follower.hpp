#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "router/rules_follower.hpp"

namespace reedramp::router {

/// Keeps the list of backend servers up to date from the store, at a fixed pace: servers write
/// there all the time, so that a waiting reading would end at once, and each is paid for. Entries
/// share the readings: see `routing::list_freshness`.
///
/// While the store is away, registrations lapse of servers that work on. One that ends soon after
/// an outage is therefore kept for the time in which it would be back. An outage is what no entry
/// had an answer in, see `routing::store_contact`; a cut of this entry alone keeps nothing.
class servers_follower : public std::enable_shared_from_this<servers_follower> {
public:
    /// `on_regained` runs when the store answers again after a failed reading; may be empty.
    /// `rank` gives the number of living entries that read before this one; empty: none.
    servers_follower(
        std::shared_ptr<router_core> core,
        shared_store store,
        follower_options options,
        std::function<auto()->void> on_regained = {},
        std::function<auto()->std::size_t> rank = {});

    auto start() -> void { this->read_next(); }

private:
    using reading = stream_reading<routing::registration_change>;

    auto read_next() -> void;
    auto on_reading(const common::result<reading>& found, time_point asked_at) -> void;
    auto on_failure(const common::error& why, time_point asked_at) -> void;
    /// Whether that changed who may get work; the same for the two below.
    auto apply(const reading& found, time_point now) -> bool;
    auto apply(const routing::registration_change& change, time_point now) -> bool;
    auto lapse(const common::server_id& id, time_point now) -> bool;
    /// Sets what depends on the moment of the reading.
    [[nodiscard]] auto as_read(routing::registration read, time_point now) const
        -> routing::registration;
    /// One line and one count for a word that changed something or was not believed.
    auto tell(
        routing::table_event event,
        const routing::registration_change& change,
        const std::string& more = {}) const -> void;
    /// Until when ended registrations are kept, as far as is known now.
    [[nodiscard]] auto kept_until(time_point now) const -> time_point;
    auto end_lapsed(time_point now) -> void;
    auto check_lapsed() -> void;
    /// Forgets what belongs to servers that have gone.
    auto sweep(time_point now) -> void;
    auto read_later(std::chrono::milliseconds wait) -> void;
    auto read_when_due() -> void;

    std::shared_ptr<router_core> core;
    shared_store store;
    follower_options options;
    std::function<auto()->void> on_regained;
    std::function<auto()->std::size_t> rank;
    std::optional<stream_position> position;
    bool checks_lapsed = false;
    time_point swept_at{};
    bool is_lost = false;
};

} // namespace reedramp::router
