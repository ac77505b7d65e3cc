#pragma once

#include <cstddef>
#include <optional>
#include <span>

#include "common/ids.hpp"

namespace reedramp::billing {

/// Processes that append bills in a large fleet. One append a second of each leaves most of the
/// log's few hundred appends a second to claims.
inline constexpr std::size_t gatherer_count = 16;

/// The entry that appends the bills of `self` together with those of others; nothing if `self`
/// appends its own, because it is a gatherer or because there are few entries.
auto gatherer_for(const common::host_id& self, std::span<const common::host_id> entries)
    -> std::optional<common::host_id>;

} // namespace reedramp::billing
