#include "router/servers_follower.hpp"

#include <set>
#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

using common::log_level;
using common::log_part;

namespace {

/// As often as peers speak; what they say may make a reading needless, or due at once.
constexpr std::chrono::milliseconds between_checks{100};

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
    this->read_when_due();
}

auto servers_follower::apply(const reading& found, time_point now) -> bool
{
    bool has_changed = false;
    std::set<common::server_id> named;
    for (const auto& change : found.documents) {
        named.insert(change.id);
        if (change.now) {
            has_changed = this->take(change, now) || has_changed;
        }
        else {
            has_changed = this->lapse(change.id, now) || has_changed;
        }
    }
    if (!found.is_whole) {
        return has_changed;
    }
    for (const auto& id : this->core->servers.ids()) {
        if (!named.contains(id)) {
            has_changed = this->lapse(id, now) || has_changed;
        }
    }
    return has_changed;
}

auto servers_follower::take(routing::registration_change change, time_point now) -> bool
{
    this->lapsed.erase(change.id);
    auto& servers = this->core->servers;
    const bool was_usable = servers.find(change.id) != nullptr;
    if (change.now) {
        change.now->cold_until = now + change.now->cold_for;
    }
    servers.apply(change);
    const bool is_usable = servers.find(change.id) != nullptr;
    if (was_usable != is_usable) {
        common::log(
            log_part::members,
            log_level::info,
            std::string{is_usable ? "server usable" : "server leaving"} +
                " server=" + change.id.value() + " service=" + change.now->service.value() +
                " version=" + change.now->version.value());
    }
    return was_usable != is_usable;
}

auto servers_follower::lapse(const common::server_id& id, time_point now) -> bool
{
    const bool is_new = this->lapsed.insert(id).second;
    const auto until = this->kept_until(now);
    if (is_new && until > now) {
        const auto kept = std::chrono::duration_cast<std::chrono::milliseconds>(until - now);
        common::log(
            log_part::members,
            log_level::info,
            "registration ended server=" + id.value() + " kept_ms=" + std::to_string(kept.count()));
    }
    return is_new;
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
    for (const auto& id : std::exchange(this->lapsed, {})) {
        common::log(log_part::members, log_level::info, "server gone server=" + id.value());
        this->core->servers.apply({id, std::nullopt});
        this->core->health.forget(id);
        for (auto& [service, paces] : this->core->paces) {
            paces.forget(id);
        }
    }
}

/// Not with the readings alone: what a peer says may end the time of kept registrations at once,
/// and a reading may hang for longer than that time lasts.
auto servers_follower::check_lapsed() -> void
{
    this->end_lapsed(this->core->hooks.clock());
    if (this->lapsed.empty() || std::exchange(this->checks_lapsed, true)) {
        return;
    }
    this->core->hooks.timer(
        this->core->hooks.clock() + between_checks, [self = this->shared_from_this()] {
            self->checks_lapsed = false;
            self->check_lapsed();
        });
}

} // namespace reedramp::router
