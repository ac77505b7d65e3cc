#pragma once

#include <functional>
#include <memory>

#include "router/servers_list.hpp"

namespace reedramp::router {

/// An entry's place among those that read the servers' list.
struct reader_rank {
    /// Living entries that read before this one.
    std::size_t rank = 0;
    /// It is one of the few of its data centre that read for the others.
    bool is_reader = true;
};

/// What varies in how an entry reads the servers' list.
struct servers_follower_hooks {
    /// The store answers again after a failed reading. May be empty.
    std::function<auto()->void> on_regained = {};
    /// Empty: the only one.
    std::function<auto()->reader_rank> turn = {};
    /// The store was read: neighbours are to be told. May be empty.
    std::function<auto(const list_part& read)->void> on_read = {};
};

/// Reads the list of backend servers from the store, at a fixed pace: servers write there all the
/// time, so that a waiting reading would end at once, and each is paid for. Entries share the
/// readings, see `routing::list_freshness`, and hand on what they changed.
class servers_follower : public std::enable_shared_from_this<servers_follower> {
public:
    servers_follower(
        std::shared_ptr<router_core> core,
        shared_store store,
        follower_options options,
        std::shared_ptr<servers_list> list,
        servers_follower_hooks hooks = {});

    /// From the store, unless a neighbour has given the list.
    auto start() -> void { this->list->known_to() ? this->read_when_due() : this->read_next(); }

private:
    using reading = servers_list::reading;

    auto read_next() -> void;
    auto on_reading(const common::result<reading>& found, time_point asked_at) -> void;
    auto on_failure(const common::error& why, time_point asked_at) -> void;
    auto read_later(std::chrono::milliseconds wait) -> void;
    auto read_when_due() -> void;
    [[nodiscard]] auto is_due(time_point now) const -> bool;

    std::shared_ptr<router_core> core;
    shared_store store;
    follower_options options;
    std::shared_ptr<servers_list> list;
    servers_follower_hooks hooks;
    bool is_lost = false;
};

} // namespace reedramp::router
