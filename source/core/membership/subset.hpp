#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "membership/view.hpp"

namespace reedramp::membership {

/// Configured location of a process.
struct location {
    common::host_id host;
    common::data_centre_id data_centre;
    common::region_id region;
};

struct subset_config {
    /// Maximum number of servers that an entry keeps connections to, per version or service.
    std::size_t size = 8;
    /// How many of them are in other data centres, if there are such servers.
    std::size_t elsewhere = 2;
};

/// Chooses the servers that this process keeps connections to among the usable ones, nearest first.
///
/// The result depends only on the arguments: when a data centre is lost, its servers are no longer
/// among the candidates, and the next call chooses others instead. Servers at the same distance are
/// in rendezvous order, so that the entries spread over the servers and the loss of a server moves
/// few connections.
auto choose_subset(
    const location& self, std::span<const server_view> candidates, const subset_config& config)
    -> std::vector<server_view>;

} // namespace reedramp::membership
