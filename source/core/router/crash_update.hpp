#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "routing/crash_tracker.hpp"

namespace reedramp::router {

/// What an entry has seen of servers that end, for all others.
struct crash_update {
    common::host_id host;
    std::vector<routing::loss_report> lost;
    std::vector<routing::served_report> served;
    std::vector<routing::barred_report> barred;
    /// Of the store, in which `barred` are recorded or not.
    std::uint64_t era = 0;
};

/// As many datagrams as it takes, each to be read by itself.
auto encode_datagrams(const crash_update& news) -> std::vector<std::string>;

/// Whether a datagram is meant to be such news, and no other message of a peer.
auto is_crash_update(std::string_view datagram) -> bool;

/// Error `malformed_request` for bytes that are no such message.
auto decode_crash_news(std::string_view bytes) -> common::result<crash_update>;

} // namespace reedramp::router
