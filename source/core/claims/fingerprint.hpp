#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "messages/peer.hpp"

namespace reedramp::claims {

/// A part of all keys; each has a stream of its own in the log. Requests' keys are in the first
/// `request_partitions`, session names in the rest, since those are remembered much longer.
using partition_id = common::strong<struct partition_tag, std::uint32_t>;

inline constexpr std::uint32_t request_partitions = 16;
inline constexpr std::uint32_t name_partitions = 4;
inline constexpr std::uint32_t partition_count = request_partitions + name_partitions;

/// 128-bit fingerprint of a caller's idempotency key. Two organisations' keys never meet.
auto key_fingerprint(const common::organisation_id& organisation, std::string_view key)
    -> common::request_id;

/// Fingerprint of what is asked, so that a key used for a second request is told apart.
auto body_fingerprint(std::string_view method, std::string_view path, std::string_view body)
    -> std::uint64_t;

/// The claim is for a session name that a caller chose: it names a version and no server.
auto is_session_name(const messages::claim_request& claim) -> bool;

auto partition_of(const messages::claim_request& claim) -> partition_id;

/// Name of a partition's stream, "claims-07" or "sessions-02".
auto stream_of(partition_id partition) -> std::string;

} // namespace reedramp::claims
