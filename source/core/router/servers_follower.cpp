#include "router/servers_follower.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

using common::log_level;
using common::log_part;

namespace {

/// As often as peers speak; what they say may make a reading needless, or due at once.
constexpr std::chrono::milliseconds between_checks{100};

/// What is kept of servers that have gone is small; this bounds it, and costs nothing.
constexpr std::chrono::seconds between_sweeps{10};

/// Clocks of hosts differ by seconds, also where one has just been set; a start later than that is
/// a clock that is wrong, the server's or this host's.
constexpr std::uint64_t clocks_differ_by_ms = 60'000;

} // namespace

servers_follower::servers_follower(
    std::shared_ptr<router_core> core_to_feed,
    shared_store store_to_read,
    follower_options options_to_use,
    std::function<auto()->void> store_regained,
    std::function<auto()->std::size_t> own_rank)
    : core(std::move(core_to_feed)), store(std::move(store_to_read)), options(options_to_use),
      on_regained(std::move(store_regained)), rank(std::move(own_rank))
{
}

auto servers_follower::read_next() -> void
{
    this->store.read_servers(
        this->position,
        [self = this->shared_from_this(), asked_at = this->core->hooks.clock()](
            const common::result<reading>& found) { self->on_reading(found, asked_at); });
}

auto servers_follower::read_later(std::chrono::milliseconds wait) -> void
{
    this->core->hooks.timer(
        this->core->hooks.clock() + wait, [self = this->shared_from_this()] { self->read_next(); });
}

auto servers_follower::read_when_due() -> void
{
    const auto now = this->core->hooks.clock();
    this->core->hooks.timer(now + between_checks, [self = this->shared_from_this()] {
        const auto then = self->core->hooks.clock();
        const auto own_rank = self->rank ? self->rank() : 0;
        if (self->core->freshness.is_due(own_rank, then)) {
            self->read_next();
        }
        else {
            self->read_when_due();
        }
    });
}

auto servers_follower::on_failure(const common::error& why, time_point asked_at) -> void
{
    if (why.code == common::result_code::log_trimmed && this->position) {
        // The store is there, and has no more of its history. A pause here would come on top of the
        // time in which a server that left is still used.
        common::log(log_part::members, log_level::info, "history trimmed, reading all");
        this->position.reset();
        this->read_next();
        return;
    }
    if (!std::exchange(this->is_lost, true)) {
        common::log(log_part::members, log_level::warning, "store lost what=" + why.detail);
    }
    this->core->freshness.note_failure(asked_at);
    this->read_later(pause_after_failure(*this->core, this->options));
}

auto servers_follower::on_reading(const common::result<reading>& found, time_point asked_at) -> void
{
    if (!found) {
        this->on_failure(found.error(), asked_at);
        return;
    }
    const auto now = this->core->hooks.clock();
    if (std::exchange(this->is_lost, false)) {
        common::log(log_part::members, log_level::info, "store regained");
        if (this->on_regained) {
            this->on_regained();
        }
    }
    const bool has_changed = this->apply(*found, now);
    this->core->serve_held();
    this->position = found->end;
    this->core->freshness.note_read(found->end.value(), has_changed, now);
    this->check_lapsed();
    this->sweep(now);
    this->read_when_due();
}

auto servers_follower::apply(const reading& found, time_point now) -> bool
{
    bool has_changed = false;
    std::set<common::server_id> named;
    for (const auto& change : found.documents) {
        named.insert(change.id);
        has_changed = this->apply(change, now) || has_changed;
    }
    if (!found.is_whole) {
        return has_changed;
    }
    for (const auto& id : this->core->servers.listed()) {
        if (!named.contains(id)) {
            has_changed = this->lapse(id, now) || has_changed;
        }
    }
    return has_changed;
}

auto servers_follower::apply(const routing::registration_change& change, time_point now) -> bool
{
    using routing::table_event;
    if (!change.now && change.problem.empty()) {
        return this->lapse(change.id, now);
    }
    auto& servers = this->core->servers;
    const auto event =
        change.now ? servers.take(this->as_read(*change.now, now), now) : servers.spoil(change.id);
    this->tell(event, change);
    return event != table_event::none && event != table_event::late;
}

auto servers_follower::as_read(routing::registration read, time_point now) const
    -> routing::registration
{
    read.cold_until = now + read.cold_for;
    if (this->core->hooks.unix_ms) {
        const auto latest = this->core->hooks.unix_ms() + clocks_differ_by_ms;
        read.is_born_ahead = read.born.value() > latest;
    }
    return read;
}

auto servers_follower::tell(
    routing::table_event event,
    const routing::registration_change& change,
    const std::string& more) const -> void
{
    if (event == routing::table_event::none) {
        return;
    }
    this->core->counters.count_server_word(std::string{to_string(event)});
    std::string line = "server " + std::string{to_string(event)} + " server=";
    if (change.now) {
        line += to_string(change.now->start()) + " service=" + change.now->service.value() +
                " version=" + change.now->version.value() +
                (change.now->is_born_ahead ? " start=ahead_of_the_time_of_day" : "");
    }
    else {
        line += change.id.value();
    }
    if (!change.problem.empty()) {
        line += " why=" + change.problem;
    }
    common::log(log_part::members, log_level::info, line + more);
}

auto servers_follower::lapse(const common::server_id& id, time_point now) -> bool
{
    const auto event = this->core->servers.lapse(id);
    const auto until = this->kept_until(now);
    const auto kept = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(until - now, common::duration{0}));
    this->tell(event, {id, std::nullopt}, " kept_ms=" + std::to_string(kept.count()));
    return event == routing::table_event::lapsed;
}

auto servers_follower::kept_until(time_point now) const -> time_point
{
    return this->core->freshness.outage_ended(now) + this->options.registration_grace;
}

auto servers_follower::end_lapsed(time_point now) -> void
{
    if (now < this->kept_until(now)) {
        return;
    }
    const auto read_to = this->core->freshness.read_to();
    for (const auto& server : this->core->servers.end_lapsed(read_to, now)) {
        common::log(log_part::members, log_level::info, "server gone server=" + to_string(server));
    }
}

/// Not with the readings alone: what a peer says may end the time of kept registrations at once,
/// and a reading may hang for longer than that time lasts.
auto servers_follower::check_lapsed() -> void
{
    this->end_lapsed(this->core->hooks.clock());
    if (!this->core->servers.has_lapsed() || std::exchange(this->checks_lapsed, true)) {
        return;
    }
    this->core->hooks.timer(
        this->core->hooks.clock() + between_checks, [self = this->shared_from_this()] {
            self->checks_lapsed = false;
            self->check_lapsed();
        });
}

auto servers_follower::sweep(time_point now) -> void
{
    if (now - this->swept_at < between_sweeps) {
        return;
    }
    this->swept_at = now;
    auto& servers = this->core->servers;
    servers.forget_left(now);
    const auto is_gone = [&servers](const routing::server_start& server) {
        const auto* known = servers.find(server.id);
        return known == nullptr || known->start() != server;
    };
    this->core->health.forget_if(is_gone);
    for (auto& [service, paces] : this->core->paces) {
        paces.forget_if(is_gone);
    }
}

} // namespace reedramp::router
