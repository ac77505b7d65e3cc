#pragma once

#include <optional>
#include <string>

#include "routing/configuration.hpp"

namespace reedramp::router {

/// Fields ` organisation=` and ` rank=` of a request's log line, without those that are unknown.
/// Spaces and control characters of the name are replaced, since fields are separated by spaces.
auto owner_fields(const routing::organisation* owner, std::optional<unsigned> rank) -> std::string;

/// Field ` pressure=` with two decimals.
auto pressure_field(double pressure) -> std::string;

/// Field ` excess=` with two decimals; empty if the organisation is within its share.
auto excess_field(double excess) -> std::string;

} // namespace reedramp::router
