#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/load_tracker.hpp"
#include "routing/server_health.hpp"
#include "routing/server_limiter.hpp"
#include "routing/server_speed_tracker.hpp"
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
    std::vector<server_instance> tried;
    common::data_centre_id own_data_centre;
};

struct choice_options {
    /// A server that holds the prompt's part may have this much more work than the least loaded
    /// one, as a multiple of the work that it saves.
    double affinity_patience = 20.0;
    /// Work that a request to another data centre has to save.
    double distance_work = 200.0;
    /// Servers by rendezvous over the prompt's part that a request looks at: a hot part spreads
    /// over these in turn as each has more work than its patience, and then over all.
    std::size_t holders = 4;
    /// Servers drawn by chance that it looks at besides, and how many of them in its own data
    /// centre, as far as there are any.
    std::size_t drawn = 8;
    std::size_t drawn_near = 4;
    /// Work counts so many times at a cold server of a service that says what such a one bears: it
    /// is for the moments in which the warm ones have too much.
    double cold_slowness = 10.0;
};

/// What a choice asks about servers.
struct server_trackers {
    const load_tracker& loads;
    const server_speed_tracker& paces;
    const server_health& health;
    /// Null: all servers take any number of requests.
    const server_limiter* intake = nullptr;
    /// Requests a second that a cold server of the service bears; 0 if it bears all.
    double cold_per_second = 0.0;
};

/// Takes a server for a request: of a few, the one that is through first with its work over all
/// entries and this request's, less what a prompt that is already there saves. Null when no server
/// is left, or only such as take requests in turns, and it is not this entry's. Resting servers are
/// taken only when all rest.
///
/// The few are the prompt's holders and some drawn by chance; all, where there are no more. Entries
/// hear of each other's work late: with the same view all would send to the same least loaded
/// server until they hear of it. Different requests look at different servers, so that a late view
/// does less harm, and the cost of a choice does not grow with the servers. `chance` is a random
/// number, a fresh one for each choice.
auto choose_server(
    const std::vector<const registration*>& usable,
    const placement_request& asked,
    const server_trackers& books,
    const choice_options& options,
    std::uint64_t chance,
    time_point now) -> const registration*;

} // namespace reedramp::routing
