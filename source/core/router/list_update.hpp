#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/result.hpp"
#include "router/servers_list.hpp"
#include "routing/list_freshness.hpp"

namespace reedramp::router {

/// Update of the server list, read from the store or received from a peer, for neighbouring
/// entries.
struct list_update {
    common::host_id host;
    /// "IP:port" where the sender serves the list to neighbours that lack changes.
    std::string address;
    common::data_centre_id data_centre;
    /// The newest store reading that the sender's list is based on.
    routing::freshness_report freshness{0, std::chrono::hours{1}};
    /// The newest reading of the operators' stream that the sender's rules are based on.
    routing::freshness_report rules_freshness{0, std::chrono::hours{1}};
    /// 0 if the sender has no rules.
    std::uint64_t rules_version = 0;
    /// Combined hash of the servers to which the sender routes requests.
    std::uint64_t digest = 0;
    list_part part;
};

/// Encodes the update as one datagram. If its changes do not fit, it is sent without any, and
/// neighbours ask for them.
auto encode_datagram(const list_update& update) -> std::string;

/// Whether a datagram holds a server list update rather than another message of a peer.
auto is_list_update(std::string_view datagram) -> bool;

/// Error `malformed_request` if `bytes` is not a valid update.
auto decode_datagram(std::string_view bytes) -> common::result<list_update>;

/// Encodes the update, of any size, as the HTTP response body for a neighbour.
auto encode_answer(const list_update& update) -> std::string;

/// Error `malformed_request` if `bytes` is not a valid update, or is longer than any real list.
auto decode_answer(std::string_view bytes) -> common::result<list_update>;

} // namespace reedramp::router
