#include "routing/server_choice.hpp"

#include <algorithm>
#include <iterator>

#include "placement/affinity.hpp"

namespace reedramp::routing {

namespace {

using servers = std::vector<const registration*>;

/// Divisor of the extra work allowed for each further holder of a prefix: it was used less often,
/// and may have evicted the prefix.
constexpr double patience_step = 4.0;
/// Weight of work that is not reading prompts, under overload control. Tokens of a batch are
/// generated in one step and delay a prompt little.
constexpr double other_work_weight = 0.25;

/// Cost of a server whose memory would overflow: more than that of any server with room.
constexpr double overflow_cost = 1e12;

/// Decides which servers a request may be sent to.
class eligibility {
public:
    eligibility(const placement_request& request, const server_trackers& known, time_point moment)
        : asked(request), trackers(known), now(moment)
    {
    }

    /// Whether the request may be sent there at all.
    [[nodiscard]] auto is_open(const registration& server) const -> bool
    {
        const bool is_untried =
            this->asked.tried.empty() ||
            std::ranges::find(this->asked.tried, server.instance()) == this->asked.tried.end();
        const bool has_slot =
            this->trackers.limiter == nullptr ||
            this->trackers.limiter->may_send(server, this->trackers.cold_per_second, this->now);
        return is_untried && has_slot;
    }

    /// Whether the request should be sent there while other servers are available.
    [[nodiscard]] auto holds(const registration& server) const -> bool
    {
        return this->is_open(server) &&
               !this->trackers.health.is_ejected(server.instance(), this->now);
    }

    /// Whether the request fits into the server's memory.
    [[nodiscard]] auto has_room(const registration& server) const -> bool
    {
        const auto size = this->trackers.memory_tokens;
        return size <= 0.0 || this->trackers.loads.total(server.instance(), this->now).memory +
                                      this->asked.memory <=
                                  size;
    }

private:
    const placement_request& asked;
    const server_trackers& trackers;
    time_point now;
};

/// Returns the first `count` servers by rendezvous hashing, best first. The order is the same at
/// all entries, and only a removed server's own keys move.
auto holders_of(
    const servers& usable, std::uint64_t key, std::size_t count, const eligibility& may_go)
    -> servers
{
    // Only the best ones are checked, which limits the lookups in the trackers.
    const auto first = placement::top_by_affinity(
        usable.size(),
        key,
        count,
        [&usable](std::size_t index) { return id_hash_of(*usable[index]); },
        [&](std::size_t index) { return may_go.holds(*usable[index]); });
    servers found;
    found.reserve(first.size());
    for (const auto index : first) {
        found.push_back(usable[index]);
    }
    return found;
}

auto add_new(servers& to, const registration* server) -> bool
{
    const bool is_new = std::ranges::find(to, server) == to.end();
    if (is_new) {
        to.push_back(server);
    }
    return is_new;
}

/// Adds random servers, up to `drawn_near` of them from the request's own data centre as far as the
/// draws find them, then any.
auto add_drawn(
    servers& to,
    const servers& usable,
    const placement_request& asked,
    const choice_options& options,
    const eligibility& may_go,
    std::uint64_t chance) -> void
{
    // With five data centres, one draw in five is from the own one; this many draws find most of
    // those wanted.
    constexpr std::size_t draws_for_each = 4;
    const auto draws = options.drawn * draws_for_each;
    // The last quarter of the draws accepts servers without room: all may be full.
    const auto draws_with_room = draws - options.drawn;
    const auto far = options.drawn - std::min(options.drawn_near, options.drawn);
    std::size_t near_found = 0;
    std::size_t far_found = 0;
    for (std::size_t i = 0; i < draws && near_found + far_found < options.drawn; ++i) {
        // A hash of the draw's index replaces a random number generator.
        const auto* server = usable[placement::affinity_weight(chance, i) % usable.size()];
        const bool is_near = server->data_centre == asked.own_data_centre;
        if ((!is_near && far_found >= far) || !may_go.holds(*server) ||
            (i < draws_with_room && !may_go.has_room(*server))) {
            continue;
        }
        if (add_new(to, server)) {
            (is_near ? near_found : far_found) += 1;
        }
    }
}

auto all_that(const servers& usable, const auto& holds) -> servers
{
    servers kept;
    std::ranges::copy_if(
        usable, std::back_inserter(kept), [&holds](const auto* server) { return holds(*server); });
    return kept;
}

/// The candidates for a request, holders of its prefix first, and the number of holders.
struct candidates {
    servers all;
    std::size_t holders = 0;
};

auto find_candidates(
    const servers& usable,
    const placement_request& asked,
    const choice_options& options,
    const eligibility& may_go,
    std::uint64_t chance) -> candidates
{
    candidates found;
    if (asked.affinity != 0) {
        found.all = holders_of(usable, asked.affinity, options.holders, may_go);
        found.holders = found.all.size();
    }
    if (usable.size() > options.holders + options.drawn) {
        add_drawn(found.all, usable, asked, options, may_go, chance);
    }
    else {
        for (const auto* server : usable) {
            if (may_go.holds(*server)) {
                add_new(found.all, server);
            }
        }
    }
    if (found.all.empty()) {
        // The draws found only servers that are not available.
        found.all = all_that(usable, [&may_go](const auto& one) { return may_go.holds(one); });
    }
    if (found.all.empty()) {
        found.all = all_that(usable, [&may_go](const auto& one) { return may_go.is_open(one); });
    }
    return found;
}

auto slowness_of(const server_instance& server, const server_trackers& trackers, time_point now)
    -> double
{
    return trackers.peer_speeds == nullptr
               ? trackers.speeds.slowness(server)
               : trackers.speeds.slowness_by_pace(
                     server, trackers.peer_speeds->pace_of(server, now));
}

auto weigh(double work, double reading) -> double
{
    return reading + other_work_weight * (work - reading);
}

} // namespace

auto cost_of(
    const registration& server,
    const placement_request& asked,
    const server_trackers& trackers,
    const choice_options& options,
    time_point now) -> double
{
    const auto instance = server.instance();
    const bool is_limited_as_cold =
        server_limiter::is_limited_as_cold(server, trackers.cold_per_second, now);
    auto slowness =
        slowness_of(instance, trackers, now) * (is_limited_as_cold ? options.cold_slowness : 1.0);
    const auto load = trackers.loads.total(instance, now);
    auto work = load.work + asked.work;
    if (trackers.stated != nullptr) {
        slowness *= trackers.stated->current_slowdown(server, now);
        work += trackers.stated->unknown_work(server, load, now);
    }
    const auto cost =
        slowness *
        (trackers.peer_speeds == nullptr ? work : weigh(work, load.reading + asked.prompt_work));
    const bool is_far = server.data_centre != asked.own_data_centre;
    return is_far ? cost + options.distance_work : cost;
}

auto choose_server(
    const std::vector<const registration*>& usable,
    const placement_request& asked,
    const server_trackers& trackers,
    const choice_options& options,
    std::uint64_t chance,
    time_point now) -> const registration*
{
    if (usable.empty()) {
        return nullptr;
    }
    const eligibility may_go(asked, trackers, now);
    const auto found = find_candidates(usable, asked, options, may_go, chance);
    std::vector<double> costs;
    costs.reserve(found.all.size());
    std::ranges::transform(found.all, std::back_inserter(costs), [&](const auto* server) {
        return cost_of(*server, asked, trackers, options, now) +
               (may_go.has_room(*server) ? 0.0 : overflow_cost);
    });
    const auto least = std::ranges::min_element(costs);
    if (least == costs.end()) {
        return nullptr;
    }
    auto patience = asked.saved_work * options.affinity_patience;
    for (std::size_t i = 0; i < found.holders; ++i) {
        if (costs[i] <= *least + patience) {
            return found.all[i];
        }
        patience /= patience_step;
    }
    return found.all[static_cast<std::size_t>(least - costs.begin())];
}

} // namespace reedramp::routing
