#include "routing/server_choice.hpp"

#include <algorithm>
#include <functional>
#include <limits>

#include "placement/affinity.hpp"

namespace reedramp::routing {

namespace {

/// By rendezvous hashing: the same server in all entries, and only its own parts move when it goes.
auto holder_of(const std::vector<const registration*>& usable, std::uint64_t key)
    -> const registration*
{
    const registration* best = nullptr;
    std::uint64_t most = 0;
    for (const auto* server : usable) {
        const auto weight = placement::affinity_weight(hash_of(server->id), key);
        if (best == nullptr || weight > most) {
            best = server;
            most = weight;
        }
    }
    return best;
}

auto without(
    const std::vector<const registration*>& all,
    const std::function<bool(const registration&)>& out) -> std::vector<const registration*>
{
    std::vector<const registration*> kept;
    for (const auto* server : all) {
        if (!out(*server)) {
            kept.push_back(server);
        }
    }
    return kept;
}

} // namespace

auto choose_server(
    const std::vector<const registration*>& usable,
    const placement_request& asked,
    const load_book& loads,
    const pace_book& paces,
    const server_health& health,
    const choice_options& options,
    time_point now) -> const registration*
{
    const auto untried = without(usable, [&asked](const registration& server) {
        return std::ranges::find(asked.tried, server.start()) != asked.tried.end();
    });
    auto choices = without(untried, [&health, now](const registration& server) {
        return health.is_resting(server.start(), now);
    });
    if (choices.empty()) {
        choices = untried;
    }
    const auto* holder = asked.affinity == 0 ? nullptr : holder_of(choices, asked.affinity);
    const registration* best = nullptr;
    auto best_cost = std::numeric_limits<double>::infinity();
    for (const auto* server : choices) {
        auto cost =
            paces.slowness(server->start()) * (loads.total(server->start(), now).work + asked.work);
        if (server->data_centre != asked.own_data_centre) {
            cost += options.distance_work;
        }
        if (server == holder) {
            cost -= asked.saved_work * options.affinity_patience;
        }
        if (cost < best_cost) {
            best = server;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace reedramp::routing
