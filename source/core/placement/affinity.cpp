#include "placement/affinity.hpp"

#include <utility>

#include <xxhash.h>

namespace reedramp::placement {

namespace {

/// The splitmix64 finaliser: each input bit flips about half of the output bits. Without it, the
/// plain XOR of a key's hash and a server's hash would rank the servers almost identically for all
/// keys.
auto mix(std::uint64_t value) -> std::uint64_t
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

} // namespace

auto affinity_hash(std::string_view text) -> std::uint64_t
{
    return XXH3_64bits(text.data(), text.size());
}

auto affinity_weight(std::uint64_t server, std::uint64_t key) -> std::uint64_t
{
    return mix(server ^ key);
}

auto make_candidate(common::server_id server, server_distance distance) -> candidate
{
    const auto hash = affinity_hash(server.value());
    return {std::move(server), distance, hash};
}

auto preferred_candidates(std::span<const candidate> candidates, std::uint64_t key)
    -> std::optional<std::size_t>
{
    const auto first = preferred_candidates(candidates, key, 1);
    return first.empty() ? std::nullopt : std::optional(first.front());
}

auto preferred_candidates(
    std::span<const candidate> candidates, std::uint64_t key, std::size_t count)
    -> std::vector<std::size_t>
{
    return top_by_affinity(
        candidates.size(),
        key,
        count,
        [&candidates](std::size_t index) { return candidates[index].hash; },
        [](std::size_t) { return true; });
}

} // namespace reedramp::placement
