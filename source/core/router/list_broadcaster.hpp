#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.hpp"
#include "router/list_update.hpp"
#include "router/servers_list.hpp"

namespace reedramp::router {

/// Whom an entry hands news of the servers' list on to.
struct update_recipients {
    /// Living entries of its own data centre.
    std::vector<http::endpoint> near;
    /// Of each other data centre the few that pass it on there.
    std::vector<http::endpoint> far;
    /// This entry is one of those few in its own.
    bool passes_on = true;
};

struct list_broadcaster_hooks {
    std::function<auto(const http::endpoint& to, const std::string& bytes)->void> send;
    /// Asks a neighbour for what follows a position, or for the whole list.
    std::function<auto(
                      const http::endpoint& of,
                      std::optional<std::uint64_t> since,
                      answer_hook<std::string> done)
                      ->void>
        ask;
    std::function<auto()->update_recipients> audience;
    /// News have come from that entry, which lives. May be empty.
    std::function<auto(const list_update& from, const http::endpoint& where)->void> on_heard = {};
};

/// Hands what one entry has read of the servers' list on to all others, so that calls to the store
/// go with data centres and changes, and not with entries.
///
/// A reading is told at once to the reader's data centre, and to two entries of each other one,
/// which pass it on: two steps at any size. What is lost on the way shows in the next words of any
/// peer, as a change that this entry lacks, and is asked for; what no neighbour gives is read from
/// the store. A list that differs without a missing change is repaired with a neighbour's.
class list_broadcaster : public std::enable_shared_from_this<list_broadcaster> {
public:
    list_broadcaster(
        std::shared_ptr<router_core> core,
        std::shared_ptr<servers_list> list,
        common::host_id host,
        http::endpoint own_address,
        list_broadcaster_hooks hooks);

    /// This entry has read the store.
    auto publish(const list_part& read) -> void;

    /// Takes a datagram in; one that is no news changes nothing and is counted.
    auto hear(std::string_view datagram) -> void;

    /// A peer's words tell of a change that this entry lacks.
    auto fetch_from(const http::endpoint& neighbour) -> void;

    /// The answer to a neighbour that lacks what follows `since`, or all. Empty before the first
    /// reading.
    [[nodiscard]] auto answer(std::optional<std::uint64_t> since) const -> std::string;

    /// Who told of the reading that the list rests on; empty if it was this entry's own.
    [[nodiscard]] auto source() const -> const std::string& { return this->told_by; }

private:
    [[nodiscard]] auto news_of(list_part part) const -> list_update;
    auto pass_on(const list_update& heard, const update_recipients& to) -> void;
    auto take(const list_update& news, const http::endpoint& from) -> void;
    /// The store ended before what a neighbour has made this entry believe.
    [[nodiscard]] auto is_ahead_of_store(const list_update& news) const -> bool;
    /// Asks for the whole list where it has differed from the neighbour's for too long.
    auto compare(const list_update& news, const http::endpoint& from) -> void;
    auto ask(const http::endpoint& neighbour, std::optional<std::uint64_t> since) -> void;
    auto on_answer(const http::endpoint& from, const common::result<std::string>& body) -> void;
    auto reject(const std::string& from, const common::error& why) -> void;

    std::shared_ptr<router_core> core;
    std::shared_ptr<servers_list> list;
    common::host_id self;
    http::endpoint own_address;
    list_broadcaster_hooks hooks;
    std::string told_by;
    /// No other question before this, unless the last one is answered.
    time_point ask_again_at{};
    /// Since when the list differs from the neighbours' at the same position.
    std::optional<time_point> differs_since;
    time_point next_rejection_logged{};
};

} // namespace reedramp::router
