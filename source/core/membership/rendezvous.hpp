#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "common/ids.hpp"

namespace reedramp::membership {

/// Rendezvous hash: the weight of `node` for `key`, the same in all processes. A key belongs to the
/// node with the highest weight, so a node that joins or leaves moves only its own keys.
auto weight(std::string_view key, std::string_view node) -> std::uint64_t;

/// Returns the hosts in descending order of their weight for `key`. Duplicates are kept.
auto rank(std::string_view key, std::span<const common::host_id> hosts)
    -> std::vector<common::host_id>;

} // namespace reedramp::membership
