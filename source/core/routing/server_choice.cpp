#include "routing/server_choice.hpp"

#include <algorithm>
#include <iterator>

#include "placement/affinity.hpp"

namespace reedramp::routing {

namespace {

using servers = std::vector<const registration*>;

/// By how much each further holder of a part is given less patience than the one before it: it was
/// asked less often, and may have dropped the part.
constexpr double patience_step = 4.0;

auto id_hash(const registration& server) -> std::uint64_t
{
    return server.id_hash == 0 ? hash_of(server.id) : server.id_hash;
}

/// Which servers a request may go to.
class eligibility {
public:
    eligibility(const placement_request& request, const server_trackers& known, time_point moment)
        : asked(request), books(known), now(moment)
    {
    }

    /// Whether it may go there at all.
    [[nodiscard]] auto is_open(const registration& server) const -> bool
    {
        const bool is_untried =
            this->asked.tried.empty() ||
            std::ranges::find(this->asked.tried, server.start()) == this->asked.tried.end();
        const bool has_turn =
            this->books.intake == nullptr ||
            this->books.intake->may_take(server, this->books.cold_per_second, this->now);
        return is_untried && has_turn;
    }

    /// Whether it should, while there are others.
    [[nodiscard]] auto holds(const registration& server) const -> bool
    {
        return this->is_open(server) && !this->books.health.is_resting(server.start(), this->now);
    }

private:
    const placement_request& asked;
    const server_trackers& books;
    time_point now;
};

/// The first `count` by rendezvous hashing, the first one in front: the same in all entries, and
/// only its own parts move when a server goes.
auto holders_of(
    const servers& usable, std::uint64_t key, std::size_t count, const eligibility& may_go)
    -> servers
{
    // Few rank, so that few are looked up in the books.
    const auto first = placement::top_by_affinity(
        usable.size(),
        key,
        count,
        [&usable](std::size_t index) { return id_hash(*usable[index]); },
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

/// Adds servers by chance: first those of the request's own data centre, as far as chance finds
/// them, then any.
auto add_drawn(
    servers& to,
    const servers& usable,
    const placement_request& asked,
    const choice_options& options,
    const eligibility& may_go,
    std::uint64_t chance) -> void
{
    // With five data centres a draw is near once in five; so many draws find most of the near ones.
    constexpr std::size_t draws_for_each = 4;
    const auto draws = options.drawn * draws_for_each;
    const auto far = options.drawn - std::min(options.drawn_near, options.drawn);
    std::size_t near_found = 0;
    std::size_t far_found = 0;
    for (std::size_t i = 0; i < draws && near_found + far_found < options.drawn; ++i) {
        // Draws of one choice need no generator of their own: the hash of their number will do.
        const auto* server = usable[placement::affinity_weight(chance, i) % usable.size()];
        const bool is_near = server->data_centre == asked.own_data_centre;
        if ((!is_near && far_found >= far) || !may_go.holds(*server)) {
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

/// The servers that the request looks at, its prompt's holders in front; how many those are.
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
        // Chance met only servers that are out.
        found.all = all_that(usable, [&may_go](const auto& one) { return may_go.holds(one); });
    }
    if (found.all.empty()) {
        found.all = all_that(usable, [&may_go](const auto& one) { return may_go.is_open(one); });
    }
    return found;
}

auto cost_at(
    const registration& server,
    const placement_request& asked,
    const server_trackers& books,
    const choice_options& options,
    time_point now) -> double
{
    const auto start = server.start();
    const bool is_spared = server_limiter::is_spared(server, books.cold_per_second, now);
    const auto slowness = books.paces.slowness(start) * (is_spared ? options.cold_slowness : 1.0);
    const auto cost = slowness * (books.loads.total(start, now).work + asked.work);
    const bool is_far = server.data_centre != asked.own_data_centre;
    return is_far ? cost + options.distance_work : cost;
}

} // namespace

auto choose_server(
    const std::vector<const registration*>& usable,
    const placement_request& asked,
    const server_trackers& books,
    const choice_options& options,
    std::uint64_t chance,
    time_point now) -> const registration*
{
    if (usable.empty()) {
        return nullptr;
    }
    const eligibility may_go(asked, books, now);
    const auto found = find_candidates(usable, asked, options, may_go, chance);
    std::vector<double> costs;
    costs.reserve(found.all.size());
    std::ranges::transform(found.all, std::back_inserter(costs), [&](const auto* server) {
        return cost_at(*server, asked, books, options, now);
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
