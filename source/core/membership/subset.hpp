#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "membership/view.hpp"

namespace reedramp::membership {

/// Where a process is, by its settings.
struct location {
    common::host_id host;
    common::data_centre_id data_centre;
    common::region_id region;
};

struct subset_config {
    /// Connections an entry keeps for one version or service.
    std::size_t size = 8;
    /// How many of them lead to other data centres, if there are such servers.
    std::size_t elsewhere = 2;
};

/// The servers that this process keeps connections to, nearest first, out of those that are usable.
///
/// It is a pure function of the candidates: when a data centre is lost, its servers leave the
/// candidates and the next call fills the places from the others. Within one distance the order is
/// by rendezvous, so that entries spread over the servers and a lost server moves few connections.
auto choose_subset(
    const location& self, std::span<const server_view> candidates, const subset_config& config)
    -> std::vector<server_view>;

} // namespace reedramp::membership
