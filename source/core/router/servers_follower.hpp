#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "router/rules_follower.hpp"

namespace reedramp::router {

/// Keeps the list of backend servers up to date from the store, at a fixed pace: servers write
/// there all the time, so that a waiting reading would end at once, and each is paid for. Entries
/// share the readings: see `routing::list_freshness`.
///
/// While the store is away, registrations lapse of servers that work on. A registration that ends
/// in a reading soon after a failed one is therefore kept for the time in which it would be back.
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
    auto on_reading(const common::result<reading>& found) -> void;
    auto apply(const reading& found, time_point now) -> bool;
    /// Whether that changed who may get work; the same for the two below.
    auto take(routing::registration_change change, time_point now) -> bool;
    auto lapse(const common::server_id& id, time_point now) -> bool;
    auto end_lapsed(time_point now) -> void;
    auto read_later(std::chrono::milliseconds wait) -> void;
    auto read_when_due() -> void;

    std::shared_ptr<router_core> core;
    shared_store store;
    follower_options options;
    std::function<auto()->void> on_regained;
    std::function<auto()->std::size_t> rank;
    std::optional<stream_position> position;
    /// Registrations that ended before this time are kept until then.
    time_point grace_until{};
    /// Ended, and not yet taken out.
    std::map<common::server_id, time_point> lapsed;
    bool is_lost = false;
};

} // namespace reedramp::router
