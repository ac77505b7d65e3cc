#pragma once

#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "messages/peer.hpp"

namespace reedramp::inventory {

/// HMAC-SHA-256 (hexadecimal digits) over version and record id with the processes' shared key.
auto withdrawal_proof(
    std::string_view key, const common::version_id& version, const common::record_id& record)
    -> std::string;

/// Compares in constant time.
auto is_proven(std::string_view key, const messages::withdrawal& item) -> bool;

} // namespace reedramp::inventory
