#pragma once

#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "messages/peer.hpp"

namespace reedramp::inventory {

/// HMAC-SHA-256 of version and record id with the processes' shared key, in hexadecimal digits.
auto withdrawal_proof(
    std::string_view key, const common::version_id& version, const common::record_id& record)
    -> std::string;

/// Whether the withdrawal's proof is valid; compares in constant time. Always false with an empty
/// key.
auto has_valid_proof(std::string_view key, const messages::withdrawal& item) -> bool;

} // namespace reedramp::inventory
