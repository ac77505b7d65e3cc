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

/// How far a backend server is from this entry.
enum class server_distance : std::uint8_t { same_data_centre, same_region, other_region };

/// A usable server of the wanted version. The list is made once for each change of membership, not
/// for each request.
struct candidate {
    common::server_id server;
    server_distance distance = server_distance::same_data_centre;
    /// `affinity_hash(server)`, kept so that ranking costs no hashing of text.
    std::uint64_t hash = 0;
};

auto make_candidate(common::server_id server, server_distance distance) -> candidate;

/// 64-bit hash of a session, a prompt's prefix or a server; the same in all processes.
auto affinity_hash(std::string_view text) -> std::uint64_t;

/// A server's weight for `key`; of all servers, the one with the largest is preferred. `server` is
/// the hash of its id.
auto affinity_weight(std::uint64_t server, std::uint64_t key) -> std::uint64_t;

/// The indexes of the first `count` of `size` servers by rendezvous hashing for `key`, the first in
/// front. `hash_at(i)` is the hash of a server's id; `may_be(i)` leaves servers out, and is asked
/// only of those that would rank.
template <typename HashAt, typename MayBe>
auto top_by_affinity(
    std::size_t size, std::uint64_t key, std::size_t count, HashAt hash_at, MayBe may_be)
    -> std::vector<std::size_t>
{
    // Few are wanted of many, so that insertion into a short list beats sorting them all.
    std::vector<std::pair<std::uint64_t, std::size_t>> best;
    best.reserve(count + 1);
    for (std::size_t index = 0; index < size && count > 0; ++index) {
        const auto weight = affinity_weight(hash_at(index), key);
        const bool ranks = best.size() < count || weight > best.back().first;
        if (!ranks || !may_be(index)) {
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

/// Index of the candidate that ranks first for `key` by rendezvous hashing: the same in all entries
/// that know the same servers, and when a server goes only its own keys move.
auto preferred_candidates(std::span<const candidate> candidates, std::uint64_t key)
    -> std::optional<std::size_t>;

/// The indexes of the first `count` candidates in the same ranking, or of all if there are fewer.
auto preferred_candidates(
    std::span<const candidate> candidates, std::uint64_t key, std::size_t count)
    -> std::vector<std::size_t>;

} // namespace reedramp::placement
