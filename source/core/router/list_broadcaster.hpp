#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/log_limiter.hpp"
#include "http/message.hpp"
#include "router/list_update.hpp"
#include "router/servers_list.hpp"

namespace reedramp::router {

/// Entries to which an entry sends server list updates.
struct update_recipients {
    /// Live entries of this entry's data centre.
    std::vector<http::endpoint> same_data_centre;
    /// The few entries of each other data centre that forward updates there.
    std::vector<http::endpoint> other_data_centres;
    /// Whether this entry is one of the few that forward updates in its data centre.
    bool forwards_updates = true;
};

struct list_broadcaster_hooks {
    std::function<auto(const http::endpoint& to, const std::string& bytes)->void> send;
    /// Requests the changes after a position from a neighbour, or the whole list.
    std::function<auto(
                      const http::endpoint& of,
                      std::optional<std::uint64_t> since,
                      answer_hook<std::string> done)
                      ->void>
        query;
    std::function<auto()->update_recipients> recipients;
    /// Called for each update received from an entry, which is therefore alive. May be empty.
    std::function<auto(const list_update& from, const http::endpoint& where)->void> on_update = {};
};

/// Distributes what one entry has read of the server list to all others, so that the number of
/// store calls grows with data centres and changes instead of with entries.
///
/// A reading is sent at once to the reader's data centre and to two entries of each other one,
/// which forward it there: two hops for any number of entries. A lost update shows in the next
/// report of any peer as a change that this entry lacks. It is then requested from that peer, or
/// read from the store if no neighbour has it. A list that differs without a missing change is
/// replaced by a neighbour's.
class list_broadcaster : public std::enable_shared_from_this<list_broadcaster> {
public:
    list_broadcaster(
        std::shared_ptr<router_core> core,
        std::shared_ptr<servers_list> list,
        common::host_id host,
        http::endpoint own_address,
        list_broadcaster_hooks hooks);

    /// Sends what this entry has read from the store.
    auto publish(const list_part& read) -> void;

    /// Sends that this entry has read the operators' stream, and how current the list is.
    auto publish_rules_reading() -> void;

    /// Handles a received datagram. An invalid one is counted and otherwise ignored.
    auto receive(std::string_view datagram) -> void;

    /// Requests missing changes from a neighbour whose report names a change that this entry lacks.
    auto fetch_changes_from(const http::endpoint& neighbour) -> void;

    /// Builds the response for a neighbour that lacks the changes after `since`, or the whole list.
    /// Empty before the first reading.
    [[nodiscard]] auto make_response(std::optional<std::uint64_t> since) const -> std::string;

    /// Host that sent the reading on which the list is based; empty if this entry read it itself.
    [[nodiscard]] auto source() const -> const std::string& { return this->source_host; }

private:
    auto send_to_all(list_part part) -> void;
    [[nodiscard]] auto make_update(list_part part) const -> list_update;
    auto forward(const list_update& received, const update_recipients& to) -> void;
    auto apply(const list_update& update, const http::endpoint& from) -> void;
    /// Whether this entry's list is ahead of the store because of an earlier update from a
    /// neighbour.
    [[nodiscard]] auto is_ahead_of_store(const list_update& update) const -> bool;
    /// Requests the whole list if it has differed from the neighbour's for too long.
    auto check_digest(const list_update& update, const http::endpoint& from) -> void;
    auto query(const http::endpoint& neighbour, std::optional<std::uint64_t> since) -> void;
    auto on_answer(const http::endpoint& from, const common::result<std::string>& body) -> void;
    auto reject(const std::string& from, const common::error& why) -> void;

    std::shared_ptr<router_core> core;
    std::shared_ptr<servers_list> list;
    common::host_id self;
    http::endpoint own_address;
    list_broadcaster_hooks hooks;
    std::string source_host;
    /// Time of the next permitted query, unless the last one is answered earlier.
    time_point next_query_at{};
    /// Since when the list has differed from a neighbour's at the same position.
    std::optional<time_point> differs_since;
    /// On updates rejected from a faulty neighbour.
    common::log_limiter rejection_lines{std::chrono::seconds{5}};
};

} // namespace reedramp::router
