#include "membership/subset.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

#include "membership/rendezvous.hpp"

namespace reedramp::membership {

namespace {

enum class distance : std::uint8_t { same_data_centre, same_region, other_region };

struct weighed_server {
    distance away = distance::other_region;
    std::uint64_t hash = 0;
    const server_view* server = nullptr;
};

auto distance_to(const location& self, const server_view& server) -> distance
{
    if (server.region != self.region) {
        return distance::other_region;
    }
    return server.data_centre == self.data_centre ? distance::same_data_centre
                                                  : distance::same_region;
}

auto is_before(const weighed_server& one, const weighed_server& other) -> bool
{
    if (one.away != other.away) {
        return one.away < other.away;
    }
    return one.hash != other.hash ? one.hash > other.hash
                                  : one.server->server < other.server->server;
}

auto sort_by_preference(const location& self, std::span<const server_view> candidates)
    -> std::vector<weighed_server>
{
    std::vector<weighed_server> ordered;
    ordered.reserve(candidates.size());
    for (const auto& server : candidates) {
        ordered.push_back(
            {distance_to(self, server), weight(self.host.value(), server.server.value()), &server});
    }
    std::ranges::sort(ordered, is_before);
    return ordered;
}

auto is_local(const weighed_server& item) -> bool
{
    return item.away == distance::same_data_centre;
}

} // namespace

auto choose_subset(
    const location& self, std::span<const server_view> candidates, const subset_config& config)
    -> std::vector<server_view>
{
    const auto ordered = sort_by_preference(self, candidates);
    const auto local = static_cast<std::size_t>(std::ranges::count_if(ordered, is_local));
    const auto remote = ordered.size() - local;
    // Some connections are reserved for other data centres: otherwise the loss of this data
    // centre's servers would leave no connection, and all its entries would open new ones at the
    // same time.
    const auto reserved_remote = std::min({config.elsewhere, remote, config.size});
    const auto chosen_local = std::min(local, config.size - reserved_remote);
    const auto chosen_remote = std::min(remote, config.size - chosen_local);
    std::vector<server_view> chosen;
    chosen.reserve(chosen_local + chosen_remote);
    for (std::size_t index = 0; index < chosen_local; ++index) {
        chosen.push_back(*ordered[index].server);
    }
    for (std::size_t index = 0; index < chosen_remote; ++index) {
        chosen.push_back(*ordered[local + index].server);
    }
    return chosen;
}

} // namespace reedramp::membership
