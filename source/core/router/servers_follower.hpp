#pragma once

#include <functional>
#include <memory>

#include "router/servers_list.hpp"

namespace reedramp::router {

/// Rank of an entry among those that read the server list.
struct reader_rank {
    /// Live entries that read before this one.
    std::size_t rank = 0;
    /// Whether the entry is one of the few of its data centre that read for the others.
    bool is_reader = true;
};

/// Hooks of `servers_follower`.
struct servers_follower_hooks {
    /// Called when the store works again after a failed reading. May be empty.
    std::function<auto()->void> on_store_recovered = {};
    /// Returns this entry's rank. Empty if it is the only entry.
    std::function<auto()->reader_rank> rank = {};
    /// Called after each reading, to update neighbours. May be empty.
    std::function<auto(const list_part& read)->void> on_read = {};
};

/// Reads the list of backend servers from the store at a fixed interval. Servers write there
/// continuously, so a waiting read would return at once, and each is billed. Entries share the
/// readings, see `routing::list_freshness`, and forward the changes to each other.
class servers_follower : public std::enable_shared_from_this<servers_follower> {
public:
    servers_follower(
        std::shared_ptr<router_core> core,
        shared_store store,
        follower_options options,
        std::shared_ptr<servers_list> list,
        servers_follower_hooks hooks = {});

    /// Starts reading. If a neighbour has provided the list, the first reading waits until it is
    /// due.
    auto start() -> void { this->list->known_to() ? this->read_when_due() : this->read_next(); }

private:
    using reading = servers_list::reading;

    auto read_next() -> void;
    auto on_reading(const common::result<reading>& found, time_point asked_at) -> void;
    auto on_failure(const common::error& why, time_point asked_at) -> void;
    auto schedule_read(std::chrono::milliseconds wait) -> void;
    auto read_when_due() -> void;
    [[nodiscard]] auto is_due(time_point now) const -> bool;

    std::shared_ptr<router_core> core;
    shared_store store;
    follower_options options;
    std::shared_ptr<servers_list> list;
    servers_follower_hooks hooks;
    bool is_store_lost = false;
};

} // namespace reedramp::router
