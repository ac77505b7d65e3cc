#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/message.hpp"
#include "router/peer_message.hpp"
#include "router/router_core.hpp"

namespace reedramp::router_program {

/// The other entries: whom this one knows, what it tells them, and what it takes from their words.
class peer_group {
public:
    using send_hook = std::function<auto(const http::endpoint& to, std::string bytes)->void>;
    /// A peer has newer rules.
    using newer_rules_hook = std::function<auto(const http::endpoint& from)->void>;

    peer_group(
        std::shared_ptr<router::router_core> core,
        common::host_id self,
        http::endpoint own_address,
        std::chrono::milliseconds period,
        send_hook send,
        newer_rules_hook on_newer_rules);

    /// An address from the settings, the store or a peer.
    auto add(const http::endpoint& where) -> void;

    /// Tells the present state to the next few peers, so that all are told in turn. While they are
    /// few, that is all of them each time; with hundreds, bytes stay bounded and words grow older.
    auto tell() -> void;

    /// Takes a datagram in.
    auto hear(std::string_view bytes) -> void;

    /// This entry's place among those that are heard, by name; 0 for the first.
    [[nodiscard]] auto rank() const -> std::size_t;

    [[nodiscard]] auto heard() const -> std::size_t;

    /// When a request that this entry can't finish would be taken: now while a living peer stays;
    /// else when the first of all that leave has ended and started anew. Told to come back sooner,
    /// callers spend their last try on another entry that leaves.
    [[nodiscard]] auto served_elsewhere_at(common::time_point now) const -> common::time_point;

private:
    /// How many calls of `tell` it takes until each peer has been told.
    [[nodiscard]] auto calls_per_round() const -> std::size_t;
    /// A peer that has been silent for this long is not counted among the living.
    [[nodiscard]] auto silence() const -> common::duration;
    /// Takes out the servers that the sender has seen leave or end.
    auto hear_of_servers(const router::peer_words& words, common::time_point now) -> void;
    [[nodiscard]] auto own_words(common::time_point now) const -> router::peer_words;

    struct peer {
        common::time_point heard{};
        common::host_id host;
        /// `never` while it stays.
        common::time_point ends_at = common::never;
    };

    /// Peers that have spoken, and not too long ago.
    [[nodiscard]] auto living() const -> std::vector<peer>;

    std::shared_ptr<router::router_core> core;
    common::host_id self;
    /// Of this process, so that peers tell its words from its predecessor's.
    std::uint64_t process;
    http::endpoint own_address;
    send_hook send;
    newer_rules_hook on_newer_rules;
    std::map<http::endpoint, peer> peers;
    /// The peer that was told last.
    http::endpoint told_last;
    std::chrono::milliseconds period;
};

} // namespace reedramp::router_program
