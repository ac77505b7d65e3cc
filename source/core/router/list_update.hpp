#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "common/result.hpp"
#include "router/servers_list.hpp"
#include "routing/list_freshness.hpp"

namespace reedramp::router {

/// What an entry has read of the servers' list, or was handed on, for its neighbours.
struct list_update {
    common::host_id host;
    /// "IP:port" on which the sender answers neighbours that lack something.
    std::string address;
    common::data_centre_id data_centre;
    /// The newest reading that the sender's list rests on.
    routing::freshness_report freshness{0, std::chrono::hours{1}};
    /// 0 without rules.
    std::uint64_t rules_version = 0;
    /// Of the servers that get work at the sender.
    std::uint64_t digest = 0;
    list_part part;
};

/// One datagram. News with more changes than fit go without any, and neighbours ask for them.
auto encode_datagram(const list_update& news) -> std::string;

/// Whether a datagram is meant to be news of the list, and no other message of a peer.
auto is_list_update(std::string_view datagram) -> bool;

/// Error `malformed_request` for bytes that are no such message.
auto decode_datagram(std::string_view bytes) -> common::result<list_update>;

/// The body of an answer to a neighbour, of any size.
auto encode_answer(const list_update& news) -> std::string;

/// Error `malformed_request`, also for an answer longer than any list.
auto decode_answer(std::string_view bytes) -> common::result<list_update>;

} // namespace reedramp::router
