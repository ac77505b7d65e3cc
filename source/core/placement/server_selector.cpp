#include "placement/server_selector.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace reedramp::placement {

namespace {

/// Number of servers that may hold the cache of one session or prefix.
constexpr std::size_t preferred_servers = 2;

auto contains(const std::vector<common::server_id>& servers, const common::server_id& wanted)
    -> bool
{
    return std::ranges::find(servers, wanted) != servers.end();
}

/// The servers that are likely to hold this request's cache, most likely first: a request goes to
/// the second server if the first is busy. A request with a session uses the session's servers
/// rather than those of its prefix, because they hold more of the conversation.
auto preferred_for(const placement_request& request, std::span<const candidate> candidates)
    -> std::vector<std::size_t>
{
    const auto key = request.session_hash != 0 ? request.session_hash : request.prefix_hash;
    if (key == 0) {
        return {};
    }
    return preferred_candidates(candidates, key, preferred_servers);
}

/// Indexes of the candidates that are not excluded, either of this region or of the other regions.
auto indexes_of(const placement_request& request, std::span<const candidate> candidates, bool near)
    -> std::vector<std::size_t>
{
    std::vector<std::size_t> indexes;
    indexes.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto is_near = candidates[index].distance != server_distance::other_region;
        if (is_near == near && !contains(request.excluded, candidates[index].server)) {
            indexes.push_back(index);
        }
    }
    return indexes;
}

/// True if a server that is not excluded would start the request immediately, according to its
/// fresh probe result.
auto has_free_server(const placement_request& request, std::span<const probe_result> fresh) -> bool
{
    return std::ranges::any_of(fresh, [&request](const probe_result& item) {
        return item.estimated_wait == common::duration(0) &&
               !contains(request.excluded, item.server);
    });
}

/// True for a candidate that may be probed: not excluded, without a result in `known`, and not in
/// `targets` yet.
struct probe_filter {
    const placement_request& request;
    std::span<const candidate> candidates;
    std::span<const probe_result> known;
    const std::vector<std::size_t>& targets;

    auto operator()(std::size_t index) const -> bool
    {
        const auto& item = this->candidates[index];
        return std::ranges::find(this->known, item.hash, &probe_result::hash) ==
                   this->known.end() &&
               std::ranges::find(this->targets, index) == this->targets.end() &&
               !contains(this->request.excluded, item.server);
    }
};

/// Adds a random candidate of this region, or of the other regions, to `targets`. False if there is
/// none.
auto add_random_target(
    const probe_filter& allowed,
    bool near,
    std::vector<std::size_t>& targets,
    const common::random_hook& random) -> bool
{
    const auto is_eligible = [&allowed, near](std::size_t index) {
        const auto is_near = allowed.candidates[index].distance != server_distance::other_region;
        return is_near == near && allowed(index);
    };
    // Nearly all candidates are eligible, so a few random draws usually find one without building a
    // list.
    constexpr int max_draws = 4;
    for (int attempt = 0; attempt < max_draws && !allowed.candidates.empty(); ++attempt) {
        const auto index = static_cast<std::size_t>(random() % allowed.candidates.size());
        if (is_eligible(index)) {
            targets.push_back(index);
            return true;
        }
    }
    std::vector<std::size_t> eligible;
    for (std::size_t index = 0; index < allowed.candidates.size(); ++index) {
        if (is_eligible(index)) {
            eligible.push_back(index);
        }
    }
    if (eligible.empty()) {
        return false;
    }
    targets.push_back(eligible[random() % eligible.size()]);
    return true;
}

using probe_list = std::vector<const probe_result*>;

auto hot_threshold(const probe_list& probes, double quantile) -> std::uint32_t
{
    std::vector<std::uint32_t> loads;
    loads.reserve(probes.size());
    for (const auto* item : probes) {
        loads.push_back(item->in_flight);
    }
    const auto last = static_cast<double>(loads.size() - 1);
    const auto rank = static_cast<std::ptrdiff_t>(std::floor(quantile * last));
    std::ranges::nth_element(loads, loads.begin() + rank);
    return loads[static_cast<std::size_t>(rank)];
}

/// The best server other than the selected one.
auto runner_up(const probe_list& best_first, const probe_result& chosen)
    -> std::optional<common::server_id>
{
    const auto other = std::ranges::find_if(
        best_first, [&chosen](const probe_result* item) { return item->hash != chosen.hash; });
    return other == best_first.end() ? std::nullopt : std::optional((*other)->server);
}

} // namespace

auto to_string(placement_reason reason) -> std::string_view
{
    switch (reason) {
    case placement_reason::session_server:
        return "session_server";
    case placement_reason::prefix_server:
        return "prefix_server";
    case placement_reason::least_wait:
        return "least_wait";
    case placement_reason::unprobed:
        return "unprobed";
    }
    return "unknown";
}

server_selector::server_selector(server_selector_settings initial) : settings(initial) {}

auto server_selector::plan(
    const placement_request& request,
    std::span<const candidate> candidates,
    probe_pool& pool,
    std::size_t round,
    common::time_point now,
    const common::random_hook& random) const -> probe_plan
{
    probe_plan result;
    result.place_by = now;
    if (round >= this->settings.probes_by_round.size()) {
        return result;
    }
    pool.with_fresh(request.version, now, [&](std::span<const probe_result> fresh) {
        if (round == 0 || !has_free_server(request, fresh)) {
            this->add_targets(result.targets, request, candidates, fresh, round, random);
        }
    });
    if (!result.targets.empty()) {
        result.place_by = now + this->settings.probe_timeout;
    }
    return result;
}

auto server_selector::add_targets(
    std::vector<std::size_t>& targets,
    const placement_request& request,
    std::span<const candidate> candidates,
    std::span<const probe_result> fresh,
    std::size_t round,
    const common::random_hook& random) const -> void
{
    const auto target_count = this->settings.probes_by_round[round];
    const probe_filter unknown{request, candidates, fresh, targets};
    for (const auto index : preferred_for(request, candidates)) {
        if (targets.size() < target_count && unknown(index)) {
            targets.push_back(index);
        }
    }
    // The first round also probes servers with a fresh result, because a newer one is more
    // accurate.
    const auto allowed = round == 0 ? probe_filter{request, candidates, {}, targets}
                                    : probe_filter{request, candidates, fresh, targets};
    const auto has_near = std::ranges::any_of(candidates, [](const candidate& item) {
        return item.distance != server_distance::other_region;
    });
    while (targets.size() < target_count && add_random_target(allowed, has_near, targets, random)) {
    }
    if (has_near && this->nearby_servers_are_busy(fresh)) {
        add_random_target(allowed, false, targets, random);
    }
}

auto server_selector::place(
    const placement_request& request,
    std::span<const candidate> candidates,
    probe_pool& pool,
    common::time_point now,
    const common::random_hook& random) const -> std::optional<placement>
{
    const auto by_probes = [&](std::span<const probe_result> fresh) {
        return this->place_by_probes(request, candidates, fresh, random);
    };
    auto chosen = pool.with_fresh(request.version, now, by_probes);
    if (!chosen) {
        return this->place_randomly(request, candidates, random);
    }
    pool.record_send(request.version, chosen->server);
    return chosen;
}

auto server_selector::place_by_probes(
    const placement_request& request,
    std::span<const candidate> candidates,
    std::span<const probe_result> fresh,
    const common::random_hook& random) const -> std::optional<placement>
{
    probe_list probes;
    for (const auto& item : fresh) {
        // A server that membership has removed must not be selected, even if its result is fresh.
        const auto known = std::ranges::find(candidates, item.hash, &candidate::hash);
        if (known != candidates.end() && !contains(request.excluded, item.server)) {
            probes.push_back(&item);
        }
    }
    if (probes.empty()) {
        return std::nullopt;
    }
    const auto limit = hot_threshold(probes, this->settings.hot_quantile);
    // Equal results are ordered randomly; otherwise all entries would select the same server.
    const auto first = static_cast<std::ptrdiff_t>(random() % probes.size());
    std::rotate(probes.begin(), probes.begin() + first, probes.end());
    std::ranges::stable_sort(probes, {}, [&](const probe_result* item) {
        const auto is_hot = item->in_flight > limit;
        return std::tuple(is_hot, this->expected_wait(*item), item->in_flight, item->distance);
    });
    return this->select_by_affinity(request, candidates, probes);
}

auto server_selector::select_by_affinity(
    const placement_request& request,
    std::span<const candidate> candidates,
    const std::vector<const probe_result*>& best_first) const -> placement
{
    const auto& best = *best_first.front();
    const auto bound = this->expected_wait(best) + this->settings.affinity_wait_allowance;
    for (const auto index : preferred_for(request, candidates)) {
        const auto preferred_result =
            std::ranges::find(best_first, candidates[index].hash, [](const probe_result* item) {
                return item->hash;
            });
        if (preferred_result != best_first.end() &&
            this->expected_wait(**preferred_result) <= bound) {
            const auto reason = request.session_hash != 0 ? placement_reason::session_server
                                                          : placement_reason::prefix_server;
            const auto& preferred = **preferred_result;
            return {
                preferred.server,
                reason,
                runner_up(best_first, preferred),
                preferred.estimated_wait};
        }
    }
    return {
        best.server,
        placement_reason::least_wait,
        runner_up(best_first, best),
        best.estimated_wait};
}

auto server_selector::place_randomly(
    const placement_request& request,
    std::span<const candidate> candidates,
    const common::random_hook& random) const -> std::optional<placement>
{
    auto indexes = indexes_of(request, candidates, true);
    if (indexes.empty()) {
        indexes = indexes_of(request, candidates, false);
    }
    if (indexes.empty()) {
        return std::nullopt;
    }
    const auto drawn = indexes[random() % indexes.size()];
    placement result;
    result.server = candidates[drawn].server;
    return result;
}

auto server_selector::nearby_servers_are_busy(std::span<const probe_result> fresh) const -> bool
{
    const auto is_busy = [this](const probe_result& item) {
        return item.distance == server_distance::other_region ||
               item.estimated_wait > this->settings.spill_threshold;
    };
    return !fresh.empty() && std::ranges::all_of(fresh, is_busy);
}

auto server_selector::expected_wait(const probe_result& item) const -> common::duration
{
    // Latency within a region is ignored: it is far shorter than the waits of requests, and with it
    // all requests would go to servers of their own data centre until those are full.
    const auto is_far = item.distance == server_distance::other_region;
    return item.estimated_wait +
           (is_far ? this->settings.inter_region_latency : common::duration(0));
}

} // namespace reedramp::placement
