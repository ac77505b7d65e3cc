#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "routing/crash_book.hpp"

namespace reedramp::router {

/// What an entry has seen of servers that end, for all others.
struct crash_news {
    common::host_id host;
    std::vector<routing::told_loss> lost;
    std::vector<routing::told_served> served;
    std::vector<routing::told_barred> barred;
    /// Of the store, in which `barred` are recorded or not.
    std::uint64_t era = 0;
};

/// As many datagrams as it takes, each to be read by itself.
auto encode_datagrams(const crash_news& news) -> std::vector<std::string>;

/// Whether a datagram is meant to be such news, and no other message of a peer.
auto is_crash_news(std::string_view datagram) -> bool;

/// Error `malformed_request` for bytes that are no such message.
auto decode_crash_news(std::string_view bytes) -> common::result<crash_news>;

} // namespace reedramp::router
