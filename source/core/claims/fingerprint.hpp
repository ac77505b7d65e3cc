#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "messages/peer.hpp"

namespace reedramp::claims {

/// Number of a key partition; each partition has its own stream in the log. Keys of requests use
/// the first `request_partitions`, session names the rest, because session names are kept much
/// longer.
using partition_id = common::strong<struct partition_tag, std::uint32_t>;

inline constexpr std::uint32_t request_partitions = 16;
inline constexpr std::uint32_t name_partitions = 4;
inline constexpr std::uint32_t partition_count = request_partitions + name_partitions;

/// 128-bit fingerprint of a caller's idempotency key. Covers the organisation, so that equal keys
/// of two organisations are distinct.
auto key_fingerprint(const common::organisation_id& organisation, std::string_view key)
    -> common::request_id;

/// Fingerprint of a request's content, used to detect a key that is reused for another request.
auto body_fingerprint(std::string_view method, std::string_view path, std::string_view body)
    -> std::uint64_t;

/// True if the claim is for a session name chosen by the caller: it has a version but no server.
auto is_session_name(const messages::claim_request& claim) -> bool;

auto partition_of(const messages::claim_request& claim) -> partition_id;

/// Name of a partition's stream, e.g. "claims-07" or "sessions-02".
auto stream_of(partition_id partition) -> std::string;

} // namespace reedramp::claims
