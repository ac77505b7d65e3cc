#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "routing/crash_tracker.hpp"

namespace reedramp::router {

/// Requests that were lost, served or barred at an entry, for all other entries. A barred request
/// is one that crashes the servers which run it.
struct crash_update {
    common::host_id host;
    std::vector<routing::loss_report> lost;
    std::vector<routing::served_report> served;
    std::vector<routing::barred_report> barred;
    /// Era of the store in which `barred` are recorded, or not.
    std::uint64_t era = 0;
    std::vector<routing::served_part_report> served_parts = {};
};

/// Encodes the update into as many datagrams as needed. Each is decoded on its own.
auto encode_datagrams(const crash_update& update) -> std::vector<std::string>;

/// Whether a datagram holds a crash update rather than another message of a peer.
auto is_crash_update(std::string_view datagram) -> bool;

/// Error `malformed_request` if `bytes` is not a valid update.
auto decode_crash_update(std::string_view bytes) -> common::result<crash_update>;

} // namespace reedramp::router
