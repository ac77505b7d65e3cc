#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "routing/load_tracker.hpp"
#include "routing/registration.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

using common::time_point;

/// Load of a server at the moment of a response's head, as the server stated it.
struct stated_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// How long work takes on the server's host at present, relative to usual: 1.0 as usual. None
    /// if the server does not state it.
    std::optional<double> slowdown;
};

/// A host that is slower or faster than usual at present, as sent to peers. `server` is a hash of
/// the server instance.
struct slowdown_report {
    std::uint64_t server = 0;
    double factor = 1.0;
    std::chrono::milliseconds age{0};
};

/// A server's statement of its load, as this entry received it.
struct load_statement {
    server_instance server;
    stated_load load;
    /// Time of the response's head.
    time_point at;
    /// Work of the request that the response belongs to, in the load tracker's unit.
    double work = 0.0;
};

/// Keeps the newest load that each server stated, and what peers report of hosts' present speeds.
///
/// A stated load only ever adds to what the entries know of their own requests, and by no more than
/// they know already: a server that always states idle must not attract all requests, and one that
/// always states full must not lose all of them.
///
/// Entries report only statements that they received themselves: forwarded ones would appear
/// younger with each hop.
class server_load_tracker {
public:
    /// Records the load in a response of the server. A refusal shows a full server, whatever it
    /// states. Returns false if the statement is ignored: it is older than the newest one, or of an
    /// earlier instance of the server.
    auto note(const common::service_name& service, const load_statement& statement, bool is_refusal)
        -> bool;

    /// Records a response with a malformed load. Returns true the first time for a server.
    auto note_malformed(const server_instance& server) -> bool;

    /// The newest statement that this entry received from the instance; null if there is none.
    [[nodiscard]] auto newest(const server_instance& server) const -> const load_statement*;

    /// How long work takes on the server's host at present, relative to usual: the newest figure
    /// from the server or from peers, which approaches the mean of the service as it ages. 1.0 if
    /// nothing is known.
    [[nodiscard]] auto current_slowdown(const registration& server, time_point now) const -> double;

    /// Expected work of requests that the server has beyond `known`, the load from all entries, by
    /// its newest statement, which approaches the mean of the service as it ages. At most as many
    /// requests again as are known, and one more.
    [[nodiscard]] auto
    unknown_work(const registration& server, const server_load& known, time_point now) const
        -> double;

    /// Reports to send to peers, the newest first.
    [[nodiscard]] auto make_reports(time_point now) const -> std::vector<slowdown_report>;

    /// Applies a peer's reports. Reports that are older than what is known change nothing.
    auto apply_reports(const std::vector<slowdown_report>& reports, time_point now) -> void;

    /// Removes the servers for which `is_gone` returns true, and peers' reports that no longer
    /// count.
    auto forget_if(
        const std::function<auto(const server_instance& server)->bool>& is_gone, time_point now)
        -> void;

private:
    struct slowdown_at {
        double factor = 1.0;
        time_point at{};
    };

    /// Exponentially weighted means of what a service's servers stated to this entry.
    struct service_means {
        bool has_slowdown = false;
        /// Peers' reports would bias it, since usual values are not reported.
        double slowdown = 1.0;
        /// Requests at a server, and work of a request.
        double requests = 0.0;
        double work = 0.0;
    };

    [[nodiscard]] auto find(const common::server_id& server, start_time started_at) const
        -> const load_statement*;
    [[nodiscard]] auto newest_slowdown(const registration& server) const
        -> std::optional<slowdown_at>;
    auto update_means(const common::service_name& service, const load_statement& newest) -> void;
    auto forget_old_reports(time_point now) -> void;

    std::unordered_map<common::server_id, load_statement> statements;
    /// By `hash_of` the server instance.
    std::unordered_map<std::uint64_t, slowdown_at> reported;
    std::map<common::service_name, service_means> by_service;
    std::unordered_set<server_instance> malformed_seen;
};

} // namespace reedramp::routing
