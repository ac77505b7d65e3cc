#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/load_tracker.hpp"
#include "routing/peer_speed_table.hpp"
#include "routing/server_health.hpp"
#include "routing/server_limiter.hpp"
#include "routing/server_load_tracker.hpp"
#include "routing/server_speed_tracker.hpp"
#include "routing/server_table.hpp"

namespace reedramp::routing {

/// Requirements of a request for the choice of its server.
struct placement_request {
    /// Work of the request itself, in the load tracker's unit.
    double work = 0.0;
    /// The part of `work` that is the prompt.
    double prompt_work = 0.0;
    /// Tokens that the request holds in a server's memory.
    double memory = 0.0;
    /// Hash of the prompt's last shared prefix; 0 if there is none worth caching.
    std::uint64_t affinity = 0;
    /// Work saved on a server that has that prefix cached, in the load tracker's unit.
    double saved_work = 0.0;
    /// Servers to which this request was already sent.
    std::vector<server_instance> tried;
    common::data_centre_id own_data_centre;
};

struct choice_options {
    /// A server that has the prompt's prefix cached may have this much more work than the least
    /// loaded server, as a multiple of the work that it saves.
    double affinity_patience = 20.0;
    /// Work that a request to another data centre has to save.
    double distance_work = 200.0;
    /// Number of preferred servers for a prefix, ranked by rendezvous hashing. A frequent prefix
    /// spreads over these as each exceeds its allowed work, and then over all servers.
    std::size_t holders = 4;
    /// Number of additional servers drawn at random, and how many of them from the request's own
    /// data centre if it has enough.
    std::size_t drawn = 8;
    std::size_t drawn_near = 4;
    /// Factor for the work at a cold server of a service that limits the rate while cold; such
    /// servers are meant for times when the warm ones are overloaded.
    double cold_slowness = 10.0;
};

/// State of the servers that a choice uses.
struct server_trackers {
    const load_tracker& loads;
    const server_speed_tracker& speeds;
    const server_health& health;
    /// Null: no server has a limit.
    const server_limiter* limiter = nullptr;
    /// Requests per second that a cold server of the service can handle; 0 if it needs no limit.
    double cold_per_second = 0.0;
    /// Null while overload control is off: servers are judged by waits and all work alike then.
    const peer_speed_table* peer_speeds = nullptr;
    /// Null: what servers state of their load does not count.
    const server_load_tracker* stated = nullptr;
    /// Tokens that fit into the memory of each server of the service; 0 if unknown or while
    /// overload control is off.
    double memory_tokens = 0.0;
};

/// Chooses a server for a request: among a few candidates, the one that would finish first, given
/// its work from all entries and this request's work, less what a cached prefix saves. Returns null
/// if no server is available, or if the remaining ones accept requests only in send slots and this
/// entry has none now. Ejected servers are used only if all are ejected, and servers whose memory
/// would overflow only if no candidate has room.
///
/// The candidates are the servers that may have the prefix cached and some random ones; all
/// servers, if there are no more. Entries learn of each other's work late: with the same view, all
/// of them would send to the same least loaded server until then. With different candidates for
/// each request an outdated view does less harm, and the cost of a choice does not grow with the
/// number of servers. `chance` is a random number, a new one for each choice.
auto choose_server(
    const std::vector<const registration*>& usable,
    const placement_request& asked,
    const server_trackers& trackers,
    const choice_options& options,
    std::uint64_t chance,
    time_point now) -> const registration*;

/// Returns the cost by which candidates are compared, in units of work at a server of usual speed.
/// Under overload control it is in proportion to the expected wait for the first event: prompts
/// that are not read yet count in full, other work, which shares the engine's steps, in part.
auto cost_of(
    const registration& server,
    const placement_request& asked,
    const server_trackers& trackers,
    const choice_options& options,
    time_point now) -> double;

} // namespace reedramp::routing
