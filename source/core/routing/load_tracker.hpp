#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "routing/server_table.hpp"

namespace reedramp::routing {

using common::time_point;

/// Work in flight at one server. `work` is in tokens, weighted by the model's slowness.
struct server_load {
    double requests = 0.0;
    double work = 0.0;
    /// The part of `work` that is prompt tokens not read yet, as far as known.
    double reading = 0.0;
    /// Tokens that the requests hold in the server's memory: their prompts and expected answers.
    double memory = 0.0;
};

/// The work in flight from one entry at one server, as sent to peers. `server` is a hash of the
/// server instance.
struct load_report {
    std::uint64_t server = 0;
    server_load load;
};

/// Tracks the requests in flight at each server, over all entries.
///
/// A server's own reports are some hundred milliseconds old and do not include what other entries
/// have just sent; if they were used alone, all entries would choose the same idle server at once.
/// Entries therefore report their requests in flight to each other.
///
/// Peers' reports are summed on arrival, so that the cost of a lookup does not depend on the number
/// of entries: with a lookup in each peer's report, one choice among 360 servers took 37,000
/// lookups with 103 entries.
class load_tracker {
public:
    /// Adds a request. `reading` is the part of `work` that is the prompt, `memory` the tokens that
    /// it holds.
    auto
    begin(const server_instance& server, double work, double reading = 0.0, double memory = 0.0)
        -> void;
    /// Removes a request with what remains of its work and of its prompt, and its memory.
    auto end(const server_instance& server, double work, double reading = 0.0, double memory = 0.0)
        -> void;

    /// Removes the work of a prompt that has been read.
    auto reduce_work(const server_instance& server, double work) -> void;

    /// Replaces a peer's earlier report. The report counts until `trusted_until`, since an entry
    /// that has failed has nothing in flight.
    auto apply_reports(
        const common::host_id& peer,
        const std::vector<load_report>& loads,
        time_point trusted_until) -> void;

    /// Load from this entry and its peers together.
    [[nodiscard]] auto total(const server_instance& server, time_point now) const -> server_load;

    [[nodiscard]] auto own(const server_instance& server) const -> server_load;

    /// Report to send to peers.
    [[nodiscard]] auto make_reports() const -> std::vector<load_report>;

private:
    struct peer_report {
        time_point trusted_until;
        std::vector<load_report> loads;
    };

    /// Work in flight from all trusted peers at one server.
    struct peer_sum {
        server_load load;
        /// Number of reports included. At zero the sum is removed, which also discards the
        /// accumulated rounding error.
        std::size_t reports = 0;
    };

    auto add(const std::vector<load_report>& loads) const -> void;
    auto subtract(const std::vector<load_report>& loads) const -> void;
    /// Removes reports that are no longer trusted.
    auto expire(time_point now) const -> void;

    std::unordered_map<server_instance, server_load> ours;
    // Expiry depends on the clock alone, so const lookups update these too.
    mutable std::map<common::host_id, peer_report> peers;
    mutable std::unordered_map<std::uint64_t, peer_sum> sums;
    /// No report expires before this.
    mutable time_point next_expiry = common::never;
};

} // namespace reedramp::routing
