#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "common/ids.hpp"

namespace reedramp::billing {

/// Number of entries that append bills in a large fleet. With one append per second each, most of
/// the log's few hundred appends per second remain for claims.
inline constexpr std::size_t gatherer_count = 16;

/// Returns the entry that appends the bills of `self` together with those of other entries. Returns
/// nothing if `self` appends its own bills, because it is a gatherer or because there are at most
/// `gatherer_count` entries.
auto gatherer_for(const common::host_id& self, std::span<const common::host_id> entries)
    -> std::optional<common::host_id>;

} // namespace reedramp::billing
