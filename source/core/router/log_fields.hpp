#pragma once

#include <optional>
#include <string>

#include "placement/retry_budget.hpp"
#include "routing/barred_parts.hpp"
#include "routing/configuration.hpp"
#include "routing/server_load_tracker.hpp"

namespace reedramp::router {

/// Fields ` organisation=` and ` rank=` of a request's log line, without those that are unknown.
/// Spaces and control characters of the name are replaced, since fields are separated by spaces.
auto owner_fields(const routing::organisation* owner, std::optional<unsigned> rank) -> std::string;

/// Field ` pressure=` with two decimals.
auto pressure_field(double pressure) -> std::string;

/// Field ` excess=` with two decimals; empty if the organisation is within its share.
auto excess_field(double excess) -> std::string;

/// Field ` load=` with the requests that a server stated as running and waiting, and its slots;
/// empty if it stated none.
auto load_field(const std::optional<routing::stated_load>& load) -> std::string;

/// Fields of a service's retry budget: first attempts and granted retries since the process
/// started; retries left of the earned ones and of this entry's share, with two decimals; entries
/// that share.
auto retry_budget_fields(const placement::retry_budget_state& state) -> std::string;

/// Start of the log line on a barred request, or on barred parts: what is barred, and its
/// fingerprint.
auto barred_text(routing::request_fingerprint fingerprint, const routing::barred_parts& what)
    -> std::string;

} // namespace reedramp::router
