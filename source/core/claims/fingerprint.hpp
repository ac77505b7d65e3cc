#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/ids.hpp"

namespace reedramp::claims {

/// One of `partition_count` parts of all keys; each has a stream of its own in the log.
using partition_id = common::strong<struct partition_tag, std::uint32_t>;

inline constexpr std::uint32_t partition_count = 16;

/// 128-bit fingerprint of a caller's idempotency key. Two organisations' keys never meet.
auto key_fingerprint(const common::organisation_id& organisation, std::string_view key)
    -> common::request_id;

/// Fingerprint of what is asked, so that a key used for a second request is told apart.
auto body_fingerprint(std::string_view method, std::string_view path, std::string_view body)
    -> std::uint64_t;

auto partition_of(const common::request_id& key) -> partition_id;

/// Name of a partition's stream, "claims-07".
auto stream_of(partition_id partition) -> std::string;

} // namespace reedramp::claims
