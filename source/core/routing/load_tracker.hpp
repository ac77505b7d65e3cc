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

/// Work under way at one server. `work` is in tokens weighted by the model's slowness.
struct server_load {
    double requests = 0.0;
    double work = 0.0;
    /// The part of `work` that is prompts not read yet, as far as is known.
    double reading = 0.0;
};

/// What one server has under way from one entry, as that entry tells its peers. Servers are named
/// by a hash of their id.
struct load_report {
    std::uint64_t server = 0;
    server_load load;
};

/// Requests under way by server, over all entries.
///
/// A server's own reports are some hundred milliseconds old and say nothing of what other entries
/// have just sent; with them alone, all entries choose the same idle server at once. So entries
/// tell each other what they have under way.
///
/// What peers say is added up as it comes, so that a look at a server costs the same with three
/// entries as with hundreds: asked of each peer's words anew, a choice among 360 servers took
/// 37,000 look-ups at 103 entries.
class load_tracker {
public:
    /// `reading` of the work is the prompt.
    auto begin(const server_instance& server, double work, double reading = 0.0) -> void;
    /// What is left of the request's work, and of its prompt.
    auto end(const server_instance& server, double work, double reading = 0.0) -> void;

    /// The prompt of a request has been read.
    auto lighten(const server_instance& server, double work) -> void;

    /// A peer's words replace its older ones, and count until `trusted_until`: an entry that has
    /// died has nothing under way.
    auto hear(
        const common::host_id& peer,
        const std::vector<load_report>& loads,
        time_point trusted_until) -> void;

    /// Own and peers' together.
    [[nodiscard]] auto total(const server_instance& server, time_point now) const -> server_load;

    [[nodiscard]] auto own(const server_instance& server) const -> server_load;

    /// For the peers.
    [[nodiscard]] auto tell() const -> std::vector<load_report>;

private:
    struct peer_report {
        time_point trusted_until;
        std::vector<load_report> loads;
    };

    /// What all trusted peers have under way at one server.
    struct peers_sum {
        server_load load;
        /// How many words are in it. With none left the sum is dropped, so that what rounding has
        /// left of it goes too.
        std::size_t words = 0;
    };

    auto add(const std::vector<load_report>& loads) const -> void;
    auto take_off(const std::vector<load_report>& loads) const -> void;
    /// Takes off what is not trusted any more.
    auto expire(time_point now) const -> void;

    std::unordered_map<server_instance, server_load> ours;
    // Sums and what they hold follow the clock alone, also while the book is only looked at.
    mutable std::map<common::host_id, peer_report> peers;
    mutable std::unordered_map<std::uint64_t, peers_sum> sums;
    /// No words lose their trust before this.
    mutable time_point next_expiry = common::never;
};

} // namespace reedramp::routing
