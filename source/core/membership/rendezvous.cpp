#include "membership/rendezvous.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include <xxhash.h>

namespace reedramp::membership {

auto weight(std::string_view key, std::string_view node) -> std::uint64_t
{
    const auto key_hash = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(node.data(), node.size(), key_hash);
}

auto rank(std::string_view key, std::span<const common::host_id> hosts)
    -> std::vector<common::host_id>
{
    std::vector<std::pair<std::uint64_t, const common::host_id*>> weighed;
    weighed.reserve(hosts.size());
    for (const auto& host : hosts) {
        weighed.emplace_back(weight(key, host.value()), &host);
    }
    std::ranges::sort(weighed, [](const auto& one, const auto& other) {
        // Equal weights are very unlikely, but the order must be the same in all processes then
        // too.
        return one.first != other.first ? one.first > other.first : *one.second < *other.second;
    });
    std::vector<common::host_id> ranked;
    ranked.reserve(weighed.size());
    for (const auto& [hash, host] : weighed) {
        ranked.push_back(*host);
    }
    return ranked;
}

} // namespace reedramp::membership
