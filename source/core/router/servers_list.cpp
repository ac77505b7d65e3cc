#include "router/servers_list.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <unordered_set>
#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

using common::log_level;
using common::log_part;
using routing::registration_change;
using routing::table_event;

namespace {

/// Interval of peer reports, which may end the grace period of lapsed registrations at once.
constexpr std::chrono::milliseconds check_interval{100};

/// Bounds the state kept for servers that are gone, which is small and cheap to sweep.
constexpr std::chrono::seconds sweep_interval{10};

/// Tolerated clock difference between hosts, which is seconds even if a clock was just set. A later
/// start time means that the clock of the server or of this host is wrong.
constexpr std::uint64_t clock_tolerance_ms = 60'000;

/// Whether neighbours need the change. Most records are heartbeats, which they do not need. The
/// effect of other records may depend on what this entry already knew and its neighbours may not
/// know, so those are forwarded.
auto matters_to_neighbours(const registration_change& change, table_event event) -> bool
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

auto servers_list::apply_reading(const reading& found, time_point asked_at) -> list_part
{
    this->core->note_era(found.end, "store");
    const auto now = this->core->hooks.clock();
    const auto end = found.end.value();
    if (this->position && end < *this->position) {
        return this->apply_earlier_reading(end, asked_at);
    }
    const auto before =
        this->position ? this->position : std::exchange(this->position_before_reset, {});
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
    this->after_change(now);
    return part;
}

auto servers_list::apply_earlier_reading(std::uint64_t end, time_point asked_at) -> list_part
{
    const bool is_late = asked_at <= this->last_neighbour_part_at;
    const auto known = *this->position;
    if (!is_late) {
        // A neighbour reported records that the store does not have. Reading on from there would
        // never return anything.
        common::log(
            log_part::members,
            log_level::warning,
            "reading the whole list, a neighbour's was ahead of the store's known_to=" +
                std::to_string(known) + " end=" + std::to_string(end));
        this->reset_position();
    }
    // Applying records from before the known position would undo later ones.
    return {known, known, {}};
}

auto servers_list::apply_neighbour_part(const list_part& handed) -> part_result
{
    const bool is_whole = !handed.from;
    // A whole list at the present position repairs differences; an earlier one would bring back
    // servers that have left since.
    const auto needed = this->position.value_or(0) + (is_whole ? 0 : 1);
    if (this->position && handed.end < needed) {
        return part_result::known;
    }
    if (!is_whole && (!this->position || *handed.from > *this->position)) {
        return part_result::gap;
    }
    // The part lists what changed relative to its reader's list of the earlier era. This entry may
    // have applied updates from another reader which that reader did not see, so the part could
    // miss changes here.
    const bool is_of_earlier_era =
        !is_whole && stream_position{*handed.from}.era() < stream_position{*this->position}.era();
    if (is_of_earlier_era) {
        return part_result::gap;
    }
    this->core->note_era(stream_position{handed.end}, "a neighbour");
    const auto now = this->core->hooks.clock();
    const auto for_neighbours = this->apply(handed.changes, is_whole);
    this->journal.note(this->position.value_or(handed.end), handed.end, for_neighbours);
    this->position = handed.end;
    this->last_neighbour_part_at = now;
    this->core->freshness.note_handed_on(handed.end);
    this->after_change(now);
    return part_result::applied;
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

auto servers_list::after_change(time_point now) -> void
{
    this->core->rollouts.apply_servers(this->core->servers, now);
    this->core->handle_held();
    this->check_lapsed();
    this->remove_stale_state(now);
}

auto servers_list::apply(const std::vector<registration_change>& changes, bool is_whole)
    -> std::vector<registration_change>
{
    const auto now = this->core->hooks.clock();
    std::vector<registration_change> for_neighbours;
    std::set<common::server_id> named;
    for (const auto& change : changes) {
        named.insert(change.id);
        // This entry kept sending to the server; neighbours must learn that it is back, or they
        // drop it.
        const bool is_back =
            this->core->servers.state_of(change.id) == routing::server_state::lapsed;
        if (matters_to_neighbours(change, this->apply(change, now)) || is_back) {
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
                "ended server ignored in an older copy of the store server=" +
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
    const auto event = change.now
                           ? servers.apply_registration(this->with_read_time(*change.now, now), now)
                           : servers.mark_unreadable(change.id);
    this->log_event(event, change);
    return event;
}

auto servers_list::with_read_time(routing::registration read, time_point now) const
    -> routing::registration
{
    read.cold_until = now + read.cold_for;
    if (this->core->hooks.unix_ms) {
        const auto latest = this->core->hooks.unix_ms() + clock_tolerance_ms;
        read.starts_in_future = read.started_at.value() > latest;
    }
    return read;
}

auto servers_list::log_event(
    table_event event, const registration_change& change, const std::string& more) const -> void
{
    if (event == table_event::none) {
        return;
    }
    this->core->counters.count_server_statement(std::string{to_string(event)});
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
    // If there was never an outage, its end lies too far in the past for a meaningful difference.
    const auto until = std::max(this->kept_until(now), now);
    const auto kept = std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
    this->log_event(event, {id, std::nullopt}, " kept_ms=" + std::to_string(kept.count()));
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

/// Also checked by timer: a peer's report may end the grace period at once, and a reading may hang
/// for longer than the grace period.
auto servers_list::check_lapsed() -> void
{
    this->remove_lapsed(this->core->hooks.clock());
    if (!this->core->servers.has_lapsed() || std::exchange(this->is_check_scheduled, true)) {
        return;
    }
    this->core->hooks.timer(
        this->core->hooks.clock() + check_interval, [self = this->shared_from_this()] {
            self->is_check_scheduled = false;
            self->check_lapsed();
        });
}

auto servers_list::remove_stale_state(time_point now) -> void
{
    if (now - this->last_sweep < sweep_interval) {
        return;
    }
    this->last_sweep = now;
    auto& servers = this->core->servers;
    servers.expire_left(now);
    const auto is_gone = [&servers](const routing::server_instance& server) {
        const auto* known = servers.find(server.id);
        return known == nullptr || known->instance() != server;
    };
    this->core->health.forget_if(is_gone);
    this->core->limiter.forget_if(is_gone, now);
    this->core->stated_loads.forget_if(is_gone, now);
    for (auto& [service, speeds] : this->core->speeds) {
        speeds.forget_if(is_gone);
    }
    std::unordered_set<std::uint64_t> hashes;
    for (const auto& id : servers.ids()) {
        if (const auto* known = servers.find(id)) {
            hashes.insert(hash_of(known->instance()));
        }
    }
    this->core->peer_speeds.forget_if(
        [&hashes](std::uint64_t server) { return !hashes.contains(server); });
}

} // namespace reedramp::router
