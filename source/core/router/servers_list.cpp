#include "router/servers_list.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

using common::log_level;
using common::log_part;
using routing::registration_change;
using routing::table_event;

namespace {

/// As often as peers speak; what they say may end the time of kept registrations at once.
constexpr std::chrono::milliseconds between_checks{100};

/// What is kept of servers that have gone is small; this bounds it, and costs nothing.
constexpr std::chrono::seconds between_sweeps{10};

/// Clocks of hosts differ by seconds, also where one has just been set; a start later than that is
/// a clock that is wrong, the server's or this host's.
constexpr std::uint64_t clocks_differ_by_ms = 60'000;

/// Most records are a server's sign of life, and tell neighbours nothing. What this entry has made
/// of the others may depend on what it knew already, and theirs may not: those are handed on.
auto concerns_neighbours(const registration_change& change, table_event event) -> bool
{
    const bool has_changed = event != table_event::none && event != table_event::late;
    const bool says_end = !change.now || change.now->is_leaving;
    return has_changed || says_end;
}

} // namespace

servers_list::servers_list(std::shared_ptr<router_core> core_to_feed, follower_options to_use)
    : core(std::move(core_to_feed)), options(to_use)
{
}

auto servers_list::take_reading(const reading& found, time_point asked_at) -> list_part
{
    this->core->note_era(found.end, "store");
    const auto now = this->core->hooks.clock();
    const auto end = found.end.value();
    if (this->position && end < *this->position) {
        return this->take_earlier(end, asked_at);
    }
    const auto before = this->position ? this->position : std::exchange(this->forgotten, {});
    const bool follows = before && *before <= end;
    const bool is_copy =
        found.is_whole && before && stream_position{*before}.era() != found.end.era();
    list_part part{
        follows ? before : std::nullopt,
        end,
        this->apply(
            is_copy ? this->without_ended(found.documents) : found.documents, found.is_whole)};
    this->journal.note(part.from.value_or(end), end, part.changes);
    this->position = end;
    this->core->freshness.note_read(end, !part.changes.empty(), now, asked_at);
    this->settle(now);
    return part;
}

auto servers_list::take_earlier(std::uint64_t end, time_point asked_at) -> list_part
{
    const bool is_late = asked_at <= this->taken_over_at;
    const auto known = *this->position;
    if (!is_late) {
        // A neighbour has told of records that the store does not have. Read on from there, nothing
        // would ever come.
        common::log(
            log_part::members,
            log_level::warning,
            "list read anew, a neighbour's lay ahead of the store's known_to=" +
                std::to_string(known) + " end=" + std::to_string(end));
        this->forget_position();
    }
    // Records of before what is known, read out of order, would undo what came after them.
    return {known, known, {}};
}

auto servers_list::take_over(const list_part& handed) -> list_step
{
    const bool is_whole = !handed.from;
    // A whole list of this very position repairs what differs; one of an earlier moment would bring
    // back what has left since.
    const auto needed = this->position.value_or(0) + (is_whole ? 0 : 1);
    if (this->position && handed.end < needed) {
        return list_step::known;
    }
    if (!is_whole && (!this->position || *handed.from > *this->position)) {
        return list_step::gap;
    }
    // What a reader's whole list changed of the era before, it changed for one that still stands
    // there. Another reader may have told this entry of other ends meanwhile, which the first one
    // did not see, and takes for unchanged.
    const bool is_of_earlier_era =
        !is_whole && stream_position{*handed.from}.era() < stream_position{*this->position}.era();
    if (is_of_earlier_era) {
        return list_step::gap;
    }
    this->core->note_era(stream_position{handed.end}, "a neighbour");
    const auto now = this->core->hooks.clock();
    const auto told = this->apply(handed.changes, is_whole);
    this->journal.note(this->position.value_or(handed.end), handed.end, told);
    this->position = handed.end;
    this->taken_over_at = now;
    this->core->freshness.note_handed_on(handed.end);
    this->settle(now);
    return list_step::taken;
}

auto servers_list::part_since(std::optional<std::uint64_t> since) const -> list_part
{
    if (!this->position) {
        return {};
    }
    if (auto later = since ? this->journal.since(*since) : std::nullopt) {
        return {since, *this->position, std::move(*later)};
    }
    return {
        std::nullopt,
        *this->position,
        this->core->servers.registrations(this->core->hooks.clock())};
}

auto servers_list::settle(time_point now) -> void
{
    this->core->serve_held();
    this->check_lapsed();
    this->sweep(now);
}

auto servers_list::apply(const std::vector<registration_change>& changes, bool is_whole)
    -> std::vector<registration_change>
{
    const auto now = this->core->hooks.clock();
    std::vector<registration_change> for_neighbours;
    std::set<common::server_id> named;
    for (const auto& change : changes) {
        named.insert(change.id);
        // Here it had work all the while; neighbours have to hear that it is back, or they let it
        // go.
        const bool is_back =
            this->core->servers.state_of(change.id) == routing::server_state::lapsed;
        if (concerns_neighbours(change, this->apply(change, now)) || is_back) {
            for_neighbours.push_back(change);
        }
    }
    if (!is_whole) {
        return for_neighbours;
    }
    for (const auto& id : this->core->servers.listed()) {
        if (!named.contains(id)) {
            this->lapse(id, now);
            for_neighbours.push_back({id, std::nullopt});
        }
    }
    return for_neighbours;
}

auto servers_list::without_ended(const std::vector<registration_change>& changes) const
    -> std::vector<registration_change>
{
    const auto& servers = this->core->servers;
    std::vector<registration_change> others;
    std::ranges::copy_if(changes, std::back_inserter(others), [&servers](const auto& change) {
        const bool is_ended =
            change.now && !servers.state_of(change.id) && servers.has_ended(change.now->instance());
        if (is_ended) {
            common::log(
                log_part::members,
                log_level::info,
                "server left out, it stands in an older copy server=" +
                    to_string(change.now->instance()));
        }
        return !is_ended;
    });
    return others;
}

auto servers_list::apply(const registration_change& change, time_point now) -> table_event
{
    if (!change.now && change.problem.empty()) {
        return this->lapse(change.id, now);
    }
    auto& servers = this->core->servers;
    const auto event = change.now ? servers.apply_registration(this->as_read(*change.now, now), now)
                                  : servers.mark_unreadable(change.id);
    this->tell(event, change);
    return event;
}

auto servers_list::as_read(routing::registration read, time_point now) const
    -> routing::registration
{
    read.cold_until = now + read.cold_for;
    if (this->core->hooks.unix_ms) {
        const auto latest = this->core->hooks.unix_ms() + clocks_differ_by_ms;
        read.starts_in_future = read.started_at.value() > latest;
    }
    return read;
}

auto servers_list::tell(
    table_event event, const registration_change& change, const std::string& more) const -> void
{
    if (event == table_event::none) {
        return;
    }
    this->core->counters.count_server_word(std::string{to_string(event)});
    std::string line = "server " + std::string{to_string(event)} + " server=";
    if (change.now) {
        line += to_string(change.now->instance()) + " service=" + change.now->service.value() +
                " version=" + change.now->version.value() +
                (change.now->starts_in_future ? " start=ahead_of_the_time_of_day" : "");
    }
    else {
        line += change.id.value();
    }
    if (!change.problem.empty()) {
        line += " why=" + change.problem;
    }
    common::log(log_part::members, log_level::info, line + more);
}

auto servers_list::lapse(const common::server_id& id, time_point now) -> table_event
{
    const auto event = this->core->servers.lapse(id);
    // Without an outage ever, its end lies so far back that a difference to it has no value.
    const auto until = std::max(this->kept_until(now), now);
    const auto kept = std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
    this->tell(event, {id, std::nullopt}, " kept_ms=" + std::to_string(kept.count()));
    return event;
}

auto servers_list::kept_until(time_point now) const -> time_point
{
    return this->core->freshness.outage_ended(now) + this->options.registration_grace;
}

auto servers_list::remove_lapsed(time_point now) -> void
{
    if (now < this->kept_until(now)) {
        return;
    }
    const auto read_to = this->core->freshness.read_to();
    for (const auto& server : this->core->servers.remove_lapsed(read_to, now)) {
        common::log(log_part::members, log_level::info, "server gone server=" + to_string(server));
    }
}

/// Not with the readings alone: what a peer says may end the time of kept registrations at once,
/// and a reading may hang for longer than that time lasts.
auto servers_list::check_lapsed() -> void
{
    this->remove_lapsed(this->core->hooks.clock());
    if (!this->core->servers.has_lapsed() || std::exchange(this->checks_lapsed, true)) {
        return;
    }
    this->core->hooks.timer(
        this->core->hooks.clock() + between_checks, [self = this->shared_from_this()] {
            self->checks_lapsed = false;
            self->check_lapsed();
        });
}

auto servers_list::sweep(time_point now) -> void
{
    if (now - this->swept_at < between_sweeps) {
        return;
    }
    this->swept_at = now;
    auto& servers = this->core->servers;
    servers.expire_left(now);
    const auto is_gone = [&servers](const routing::server_instance& server) {
        const auto* known = servers.find(server.id);
        return known == nullptr || known->instance() != server;
    };
    this->core->health.forget_if(is_gone);
    this->core->intake.forget_if(is_gone, now);
    for (auto& [service, paces] : this->core->paces) {
        paces.forget_if(is_gone);
    }
}

} // namespace reedramp::router
