#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "placement/probe_pool.hpp"

namespace reedramp::placement {

/// A usable server of the wanted version. The list is made once for each change of membership, not
/// for each request.
struct candidate {
    common::server_id server;
    distance away = distance::same_data_centre;
    /// `affinity_hash(server)`, kept so that ranking costs no hashing of text.
    std::uint64_t hash = 0;
};

auto make_candidate(common::server_id server, distance away) -> candidate;

/// 64-bit hash of a session, a prompt's prefix or a server; the same in all processes.
auto affinity_hash(std::string_view text) -> std::uint64_t;

/// Index of the candidate that ranks first for `key` by rendezvous hashing: the same in all entries
/// that know the same servers, and when a server goes only its own keys move.
auto preferred(std::span<const candidate> candidates, std::uint64_t key)
    -> std::optional<std::size_t>;

/// When the preferred server is taken although another one would be free earlier.
struct affinity_bound {
    /// Wait that a kept prefix cache is worth: the prefill time it saves.
    common::duration worth{};
};

/// True if the preferred server's wait does not pass the best other one's by more than the bound.
auto within_bound(const probe& preferred, const probe& best_other, affinity_bound bound) -> bool;

} // namespace reedramp::placement
