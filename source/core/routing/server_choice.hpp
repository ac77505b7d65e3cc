#pragma once

#include <cstdint>
#include <vector>

#include "routing/load_book.hpp"
#include "routing/pace_book.hpp"
#include "routing/server_health.hpp"
#include "routing/server_table.hpp"

namespace reedramp::routing {

/// What a request asks of its server.
struct placement_request {
    /// Work of the request itself, in the load book's unit.
    double work = 0.0;
    /// Hash of the prompt's last shared part; 0 without one worth keeping together.
    std::uint64_t affinity = 0;
    /// Work that a server saves when it holds that part, in the load book's unit.
    double saved_work = 0.0;
    /// Servers that have had this request.
    std::vector<server_start> tried;
    common::data_centre_id own_data_centre;
};

struct choice_options {
    /// A server that holds the prompt's part may have this much more work than the least loaded
    /// one, as a multiple of the work that it saves.
    double affinity_patience = 20.0;
    /// Work that a request to another data centre has to save.
    double distance_work = 200.0;
};

/// Takes a server for a request: the one that is through first with its work over all entries and
/// this request's, less what a prompt that is already there saves. Null when no server is left.
/// Resting servers are taken only when all rest.
auto choose_server(
    const std::vector<const registration*>& usable,
    const placement_request& asked,
    const load_book& loads,
    const pace_book& paces,
    const server_health& health,
    const choice_options& options,
    time_point now) -> const registration*;

} // namespace reedramp::routing
