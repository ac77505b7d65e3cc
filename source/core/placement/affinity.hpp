#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "common/ids.hpp"

namespace reedramp::placement {

/// Network distance between this entry and a backend server.
enum class server_distance : std::uint8_t { same_data_centre, same_region, other_region };

/// A server that can serve the requested version. The list of candidates is rebuilt when the
/// membership changes, not for each request.
struct candidate {
    common::server_id server;
    server_distance distance = server_distance::same_data_centre;
    /// `affinity_hash(server)`, cached so that ranking does not hash strings.
    std::uint64_t hash = 0;
};

auto make_candidate(common::server_id server, server_distance distance) -> candidate;

/// 64-bit hash of a session id, a prompt prefix or a server id. All processes compute the same
/// value.
auto affinity_hash(std::string_view text) -> std::uint64_t;

/// The rendezvous weight of a server for `key`: the server with the largest weight ranks first.
/// `server` is the hash of the server's id.
auto affinity_weight(std::uint64_t server, std::uint64_t key) -> std::uint64_t;

/// The indexes of the `count` highest-ranked of `size` servers for `key` by rendezvous hashing,
/// best first. `hash_at(i)` returns the hash of server i's id. `is_eligible(i)` filters servers; it
/// is called only for those that would otherwise be in the result.
template <typename HashAt, typename IsEligible>
auto top_by_affinity(
    std::size_t size, std::uint64_t key, std::size_t count, HashAt hash_at, IsEligible is_eligible)
    -> std::vector<std::size_t>
{
    // `count` is small compared with `size`: inserting into a short list is faster than sorting.
    std::vector<std::pair<std::uint64_t, std::size_t>> best;
    best.reserve(count + 1);
    for (std::size_t index = 0; index < size && count > 0; ++index) {
        const auto weight = affinity_weight(hash_at(index), key);
        const bool ranks = best.size() < count || weight > best.back().first;
        if (!ranks || !is_eligible(index)) {
            continue;
        }
        const auto place = std::ranges::find_if(
            best, [weight](const auto& other) { return other.first < weight; });
        best.insert(place, {weight, index});
        best.resize(std::min(best.size(), count));
    }
    std::vector<std::size_t> indexes;
    indexes.reserve(best.size());
    for (const auto& [weight, index] : best) {
        indexes.push_back(index);
    }
    return indexes;
}

/// The index of the candidate that ranks first for `key` by rendezvous hashing; empty if there are
/// no candidates. All entries that know the same servers get the same result, and when a server is
/// removed, only the keys that ranked it first move.
auto preferred_candidates(std::span<const candidate> candidates, std::uint64_t key)
    -> std::optional<std::size_t>;

/// The indexes of the first `count` candidates in the same ranking, or all if there are fewer.
auto preferred_candidates(
    std::span<const candidate> candidates, std::uint64_t key, std::size_t count)
    -> std::vector<std::size_t>;

} // namespace reedramp::placement
