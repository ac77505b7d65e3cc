#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "common/ids.hpp"

namespace reedramp::membership {

/// Weight of `node` for `key`; equal in all processes. The node with the highest weight comes
/// first, so that a node that joins or leaves moves only the keys that it wins or held.
auto weight(std::string_view key, std::string_view node) -> std::uint64_t;

/// The hosts, highest weight for `key` first. Duplicates are kept.
auto rank(std::string_view key, std::span<const common::host_id> hosts)
    -> std::vector<common::host_id>;

} // namespace reedramp::membership
