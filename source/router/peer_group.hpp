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
        send_hook send,
        newer_rules_hook on_newer_rules);

    /// An address from the settings, the store or a peer.
    auto add(const http::endpoint& where) -> void;

    /// Tells all peers the present state.
    auto tell() -> void;

    /// Takes a datagram in.
    auto hear(std::string_view bytes) -> void;

    /// This entry's place among those that are heard, by name; 0 for the first.
    [[nodiscard]] auto rank() const -> std::size_t;

    [[nodiscard]] auto heard() const -> std::size_t;

private:
    struct peer {
        common::time_point heard{};
        common::host_id host;
    };

    std::shared_ptr<router::router_core> core;
    common::host_id self;
    http::endpoint own_address;
    send_hook send;
    newer_rules_hook on_newer_rules;
    std::map<http::endpoint, peer> peers;
};

} // namespace reedramp::router_program
