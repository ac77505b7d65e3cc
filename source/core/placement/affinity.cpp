#include "placement/affinity.hpp"

#include <algorithm>
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

auto affinity_weight(std::uint64_t server, std::uint64_t key) -> std::uint64_t
{
    return mix(server ^ key);
}

auto make_candidate(common::server_id server, distance away) -> candidate
{
    const auto hash = affinity_hash(server.value());
    return {std::move(server), away, hash};
}

auto preferred(std::span<const candidate> candidates, std::uint64_t key)
    -> std::optional<std::size_t>
{
    const auto first = preferred(candidates, key, 1);
    return first.empty() ? std::nullopt : std::optional(first.front());
}

auto preferred(std::span<const candidate> candidates, std::uint64_t key, std::size_t count)
    -> std::vector<std::size_t>
{
    // Few are wanted of many, so that insertion into a short list beats sorting them all.
    std::vector<std::pair<std::uint64_t, std::size_t>> best;
    best.reserve(count + 1);
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto weight = affinity_weight(candidates[index].hash, key);
        if (best.size() == count && weight <= best.back().first) {
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

} // namespace reedramp::placement
