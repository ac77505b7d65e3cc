#include "placement/chooser.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace reedramp::placement {

namespace {

auto contains(const std::vector<common::server_id>& servers, const common::server_id& wanted)
    -> bool
{
    return std::ranges::find(servers, wanted) != servers.end();
}

/// The server where this request's cache is likely to be. A session's own server goes before that
/// of its prefix: it holds the longer part of the conversation.
auto preferred_for(const place_request& request, std::span<const candidate> candidates)
    -> std::optional<std::size_t>
{
    if (request.session_hash != 0) {
        return preferred(candidates, request.session_hash);
    }
    if (request.prefix_hash != 0) {
        return preferred(candidates, request.prefix_hash);
    }
    return std::nullopt;
}

/// Indexes of the candidates of this region, or of the other ones, that are not excluded.
auto indexes_of(const place_request& request, std::span<const candidate> candidates, bool near)
    -> std::vector<std::size_t>
{
    std::vector<std::size_t> indexes;
    indexes.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto is_near = candidates[index].away != distance::other_region;
        if (is_near == near && !contains(request.excluded, candidates[index].server)) {
            indexes.push_back(index);
        }
    }
    return indexes;
}

/// Moves one random element of `from` to `to`, unless it is there already.
auto draw(
    std::vector<std::size_t>& from, std::vector<std::size_t>& to, const common::random_hook& random)
    -> void
{
    const auto drawn = random() % from.size();
    std::swap(from[drawn], from.back());
    const auto index = from.back();
    from.pop_back();
    if (std::ranges::find(to, index) == to.end()) {
        to.push_back(index);
    }
}

auto hot_above(std::span<const probe> probes, double quantile) -> std::uint32_t
{
    std::vector<std::uint32_t> loads;
    loads.reserve(probes.size());
    for (const auto& item : probes) {
        loads.push_back(item.in_flight);
    }
    const auto last = static_cast<double>(loads.size() - 1);
    const auto place = static_cast<std::ptrdiff_t>(std::floor(quantile * last));
    std::ranges::nth_element(loads, loads.begin() + place);
    return loads[static_cast<std::size_t>(place)];
}

/// The best probe of another server than the chosen one.
auto runner_up(std::span<const probe> best_first, const probe& chosen)
    -> std::optional<common::server_id>
{
    const auto other = std::ranges::find_if(
        best_first, [&chosen](const probe& item) { return item.hash != chosen.hash; });
    return other == best_first.end() ? std::nullopt : std::optional(other->server);
}

} // namespace

auto to_string(place_reason reason) -> std::string_view
{
    switch (reason) {
    case place_reason::session_server:
        return "session_server";
    case place_reason::prefix_server:
        return "prefix_server";
    case place_reason::least_wait:
        return "least_wait";
    case place_reason::unprobed:
        return "unprobed";
    }
    return "unknown";
}

chooser::chooser(chooser_settings initial) : settings(initial) {}

auto chooser::plan(
    const place_request& request,
    std::span<const candidate> candidates,
    probe_pool& pool,
    common::time_point now,
    const common::random_hook& random) const -> probe_plan
{
    probe_plan made;
    const auto first = preferred_for(request, candidates);
    if (first && !contains(request.excluded, candidates[*first].server)) {
        made.ask.push_back(*first);
    }
    auto near = indexes_of(request, candidates, true);
    auto far = indexes_of(request, candidates, false);
    if (near.empty()) {
        std::swap(near, far);
    }
    for (std::size_t count = 0; count < this->settings.random_probes && !near.empty(); ++count) {
        draw(near, made.ask, random);
    }
    if (!far.empty() && this->near_is_busy(pool.fresh(request.version, now))) {
        draw(far, made.ask, random);
    }
    made.place_at = made.ask.empty() ? now : now + this->settings.probe_timeout;
    return made;
}

auto chooser::plan_more(
    const place_request& request,
    std::span<const candidate> candidates,
    probe_pool& pool,
    common::time_point now,
    const common::random_hook& random) const -> probe_plan
{
    probe_plan made;
    made.place_at = now;
    const auto fresh = pool.fresh(request.version, now);
    const auto is_free = [&request](const probe& item) {
        return item.estimated_wait == common::duration(0) &&
               !contains(request.excluded, item.server);
    };
    if (std::ranges::any_of(fresh, is_free)) {
        return made;
    }
    auto unknown = indexes_of(request, candidates, true);
    std::erase_if(unknown, [&](std::size_t index) {
        const auto known = std::ranges::find(fresh, candidates[index].hash, &probe::hash);
        return known != fresh.end();
    });
    for (std::size_t count = 0; count < this->settings.more_probes && !unknown.empty(); ++count) {
        draw(unknown, made.ask, random);
    }
    if (!made.ask.empty()) {
        made.place_at = now + this->settings.probe_timeout;
    }
    return made;
}

auto chooser::place(
    const place_request& request,
    std::span<const candidate> candidates,
    probe_pool& pool,
    common::time_point now,
    const common::random_hook& random) const -> std::optional<placement>
{
    auto probes = pool.fresh(request.version, now);
    std::erase_if(probes, [&](const probe& item) {
        // A server that membership has removed since must get nothing, however fresh its answer.
        const auto known = std::ranges::find(candidates, item.hash, &candidate::hash);
        return known == candidates.end() || contains(request.excluded, item.server);
    });
    if (probes.empty()) {
        return this->place_unprobed(request, candidates, random);
    }
    const auto limit = hot_above(probes, this->settings.hot_quantile);
    // Equal probes are taken in random order; else all entries would agree on the first.
    const auto first = static_cast<std::ptrdiff_t>(random() % probes.size());
    std::rotate(probes.begin(), probes.begin() + first, probes.end());
    std::ranges::stable_sort(probes, {}, [&](const probe& item) {
        const auto hot = item.in_flight > limit;
        return std::tuple(hot, this->expected_wait(item), item.in_flight, item.away);
    });
    const auto chosen = this->take(request, candidates, probes);
    pool.note_sent(request.version, chosen.server);
    return chosen;
}

auto chooser::take(
    const place_request& request,
    std::span<const candidate> candidates,
    std::span<const probe> best_first) const -> placement
{
    const auto& best = best_first.front();
    const auto first = preferred_for(request, candidates);
    if (first) {
        const auto kept = std::ranges::find(best_first, candidates[*first].hash, &probe::hash);
        const auto bound = this->expected_wait(best) + this->settings.affinity_worth;
        if (kept != best_first.end() && this->expected_wait(*kept) <= bound) {
            const auto reason = request.session_hash != 0 ? place_reason::session_server
                                                          : place_reason::prefix_server;
            return {kept->server, reason, runner_up(best_first, *kept), kept->estimated_wait};
        }
    }
    return {
        best.server, place_reason::least_wait, runner_up(best_first, best), best.estimated_wait};
}

auto chooser::place_unprobed(
    const place_request& request,
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
    placement made;
    made.server = candidates[drawn].server;
    return made;
}

auto chooser::near_is_busy(std::span<const probe> fresh) const -> bool
{
    const auto busy = [this](const probe& item) {
        return item.away == distance::other_region ||
               item.estimated_wait > this->settings.spill_wait;
    };
    return !fresh.empty() && std::ranges::all_of(fresh, busy);
}

auto chooser::expected_wait(const probe& item) const -> common::duration
{
    // Trips within a region are left out: they are far shorter than the waits of requests, and with
    // them all requests would go to their own data centre's servers until these are full.
    const auto is_far = item.away == distance::other_region;
    return item.estimated_wait + (is_far ? this->settings.region_trip : common::duration(0));
}

} // namespace reedramp::placement
