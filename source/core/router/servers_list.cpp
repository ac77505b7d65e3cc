#include "router/servers_list.hpp"

#include <algorithm>
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

/// Registrations lapse after this many intervals without one.
constexpr int lapse_periods = 3;

/// Whether the registration under the id has ended.
auto says_end(const registration_change& change) -> bool
{
    return !change.now && change.problem.empty();
}

/// Whether neighbours need the change. Most records are heartbeats, which they do not need. The
/// effect of other records may depend on what this entry already knew and its neighbours may not
/// know, so those are forwarded.
auto matters_to_neighbours(const registration_change& change, table_event event) -> bool
{
    const bool has_changed = event != table_event::none && event != table_event::late &&
                             event != table_event::written_before_end;
    const bool gets_no_work = !change.now || change.now->is_leaving;
    return has_changed || gets_no_work;
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
    reading_facts facts{
        found.is_whole,
        is_copy ? routing::record_source::older_copy : routing::record_source::current,
        found.is_whole ? std::nullopt : this->last_asked_at};
    this->last_asked_at = asked_at;
    list_part part{follows ? before : std::nullopt, end, this->apply(found.documents, facts)};
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
    const auto for_neighbours =
        this->apply(handed.changes, {is_whole, routing::record_source::current, std::nullopt});
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

auto servers_list::apply(
    const std::vector<registration_change>& changes, const reading_facts& facts)
    -> std::vector<registration_change>
{
    const auto now = this->core->hooks.clock();
    const auto& servers = this->core->servers;
    std::vector<registration_change> for_neighbours;
    std::set<common::server_id> named;
    for (auto change : changes) {
        named.insert(change.id);
        if (says_end(change)) {
            change.end = this->complete_end(change, facts, now);
        }
        const bool was_lapsed = servers.state_of(change.id) == routing::server_state::lapsed;
        const auto event = this->apply(change, facts, now);
        // This entry kept sending to the server; neighbours must learn that it is back, or they
        // drop it.
        const bool is_back =
            was_lapsed && servers.state_of(change.id) != routing::server_state::lapsed;
        if (matters_to_neighbours(change, event) || is_back) {
            for_neighbours.push_back(std::move(change));
        }
    }
    if (!facts.is_whole) {
        return for_neighbours;
    }
    for (const auto& id : servers.listed()) {
        if (!named.contains(id)) {
            registration_change gone{id, std::nullopt};
            gone.end = this->complete_end(gone, facts, now);
            this->lapse(id, gone.end, now);
            for_neighbours.push_back(std::move(gone));
        }
    }
    return for_neighbours;
}

auto servers_list::complete_end(
    const registration_change& change, const reading_facts& facts, time_point now) const
    -> routing::registration_end
{
    const auto last = this->core->servers.last_registration_of(change.id);
    auto end = change.end;
    end.last_sequence = std::max(end.last_sequence, last.sequence);
    const bool was_watched = facts.written_after && last.written_after &&
                             this->core->freshness.outage_ended(now) <= *last.written_after;
    // The store removes what has lapsed only after several intervals of silence.
    const auto lapse_time =
        this->options.registration_period * lapse_periods - this->options.registration_period / 4;
    end.has_left = end.has_left || (was_watched && now - *last.written_after < lapse_time);
    return end;
}

auto servers_list::apply(
    const registration_change& change, const reading_facts& facts, time_point now) -> table_event
{
    if (says_end(change)) {
        return this->lapse(change.id, change.end, now);
    }
    auto& servers = this->core->servers;
    if (!change.now) {
        const auto event = servers.mark_unreadable(change.id);
        this->log_event(event, change);
        return event;
    }
    const auto event = this->apply_registration(change, facts, now);
    if (event == table_event::written_before_end) {
        this->on_written_before_end(*change.now, facts, now);
    }
    else {
        this->log_event(event, change);
    }
    return event;
}

auto servers_list::apply_registration(
    const registration_change& change, const reading_facts& facts, time_point now) -> table_event
{
    auto& servers = this->core->servers;
    const auto& read = *change.now;
    const auto ended_at = read.is_leaving || servers.state_of(read.id)
                              ? std::nullopt
                              : servers.recent_end_of(read.instance(), now);
    const bool is_doubtful =
        ended_at && !servers.end_after(read, now, facts.source) && this->checker().can_check(read);
    if (is_doubtful) {
        this->checker().check(read, *ended_at + routing::late_write_window);
        return table_event::unconfirmed;
    }
    return servers.apply_registration(
        this->with_read_time(read, now), now, facts.source, facts.written_after);
}

auto servers_list::apply_confirmed(const routing::registration& read) -> void
{
    const auto now = this->core->hooks.clock();
    const auto event = this->core->servers.apply_registration(this->with_read_time(read, now), now);
    this->log_event(event, {read.id, read});
    this->after_change(now);
}

auto servers_list::checker() -> return_checker&
{
    if (this->returns == nullptr) {
        this->returns = std::make_shared<return_checker>(
            this->core, [self = this->weak_from_this()](const routing::registration& read) {
                if (const auto list = self.lock()) {
                    list->apply_confirmed(read);
                }
            });
    }
    return *this->returns;
}

auto servers_list::on_written_before_end(
    const routing::registration& read, const reading_facts& facts, time_point now) -> void
{
    const auto known = this->core->servers.end_after(read, now, facts.source);
    if (!known) {
        return;
    }
    const auto ago = std::chrono::duration_cast<std::chrono::milliseconds>(now - known->at);
    this->core->counters.count_server_statement(
        std::string{to_string(table_event::written_before_end)});
    common::log(
        log_part::members,
        log_level::info,
        "registration ignored, written before the server's end server=" +
            to_string(read.instance()) + " sequence=" + std::to_string(read.sequence) +
            " last_sequence=" + std::to_string(known->end.last_sequence) + " has_left=" +
            (known->end.has_left ? "yes" : "no") + " ended_ms_ago=" + std::to_string(ago.count()) +
            " older_copy=" + (facts.source == routing::record_source::older_copy ? "yes" : "no"));
    this->core->servers.report_end_again(read.instance(), this->core->freshness.read_to(), now);
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

auto servers_list::lapse(
    const common::server_id& id, const routing::registration_end& end, time_point now)
    -> table_event
{
    this->checker().forget(id);
    const auto event = this->core->servers.lapse(id, end, now);
    // If there was never an outage, its end lies too far in the past for a meaningful difference.
    const auto until = std::max(this->kept_until(now), now);
    const auto kept = std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
    this->log_event(
        event,
        {id, std::nullopt},
        " kept_ms=" + std::to_string(kept.count()) + " last_sequence=" +
            std::to_string(end.last_sequence) + " has_left=" + (end.has_left ? "yes" : "no"));
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
