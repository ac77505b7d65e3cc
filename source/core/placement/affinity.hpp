#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "common/ids.hpp"

namespace reedramp::placement {

/// How far a backend server is from this entry.
enum class distance : std::uint8_t { same_data_centre, same_region, other_region };

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

/// A server's weight for `key`; of all servers, the one with the largest is preferred. `server` is
/// the hash of its id.
auto affinity_weight(std::uint64_t server, std::uint64_t key) -> std::uint64_t;

/// Index of the candidate that ranks first for `key` by rendezvous hashing: the same in all entries
/// that know the same servers, and when a server goes only its own keys move.
auto preferred(std::span<const candidate> candidates, std::uint64_t key)
    -> std::optional<std::size_t>;

/// The indexes of the first `count` candidates in the same ranking, or of all if there are fewer.
auto preferred(std::span<const candidate> candidates, std::uint64_t key, std::size_t count)
    -> std::vector<std::size_t>;

} // namespace reedramp::placement
