#include "placement/affinity.hpp"

#include <utility>

#include <xxhash.h>

namespace reedramp::placement {

namespace {

/// Finaliser of splitmix64: each input bit changes half of the output bits. The hashes of key and
/// server are good already, but their bare exclusive or would give all keys nearly the same
/// ranking.
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

auto make_candidate(common::server_id server, distance away) -> candidate
{
    const auto hash = affinity_hash(server.value());
    return {std::move(server), away, hash};
}

auto preferred(std::span<const candidate> candidates, std::uint64_t key)
    -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    std::uint64_t best_weight = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto weight = mix(candidates[index].hash ^ key);
        if (!best || weight > best_weight) {
            best = index;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace reedramp::placement
