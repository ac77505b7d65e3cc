#include "router/servers_follower.hpp"

#include <set>
#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

using common::log_level;
using common::log_part;

servers_follower::servers_follower(
    std::shared_ptr<router_core> core_to_feed,
    shared_store store_to_read,
    follower_options options_to_use,
    std::function<auto()->void> store_regained)
    : core(std::move(core_to_feed)), store(std::move(store_to_read)), options(options_to_use),
      on_regained(std::move(store_regained))
{
}

auto servers_follower::read_next() -> void
{
    this->store.read_servers(
        this->position, [self = this->shared_from_this()](const common::result<reading>& found) {
            self->on_reading(found);
        });
}

auto servers_follower::read_later(std::chrono::milliseconds wait) -> void
{
    this->core->hooks.timer(
        this->core->hooks.clock() + wait, [self = this->shared_from_this()] { self->read_next(); });
}

auto servers_follower::on_reading(const common::result<reading>& found) -> void
{
    const auto now = this->core->hooks.clock();
    if (!found) {
        if (!std::exchange(this->is_lost, true)) {
            common::log(
                log_part::members, log_level::warning, "store lost what=" + found.error().detail);
        }
        if (found.error().code == common::result_code::log_trimmed) {
            this->position.reset();
        }
        this->read_later(pause_after_failure(*this->core, this->options));
        return;
    }
    if (std::exchange(this->is_lost, false)) {
        this->grace_until = now + this->options.registration_grace;
        // On time, not with the next reading: where only this entry was cut off, a server that went
        // meanwhile counts its time from when the store said so.
        this->core->hooks.timer(this->grace_until, [self = this->shared_from_this()] {
            self->end_lapsed(self->core->hooks.clock());
        });
        common::log(log_part::members, log_level::info, "store regained");
        if (this->on_regained) {
            this->on_regained();
        }
    }
    this->apply(*found, now);
    this->core->serve_held();
    this->position = found->end;
    this->end_lapsed(now);
    this->read_later(this->options.servers_period);
}

auto servers_follower::apply(const reading& found, time_point now) -> void
{
    std::set<common::server_id> named;
    for (const auto& change : found.documents) {
        named.insert(change.id);
        if (change.now) {
            this->take(change, now);
        }
        else {
            this->lapse(change.id, now);
        }
    }
    if (!found.is_whole) {
        return;
    }
    for (const auto& id : this->core->servers.ids()) {
        if (!named.contains(id)) {
            this->lapse(id, now);
        }
    }
}

auto servers_follower::take(routing::registration_change change, time_point now) -> void
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
}

auto servers_follower::lapse(const common::server_id& id, time_point now) -> void
{
    this->lapsed.try_emplace(id, std::max(now, this->grace_until));
}

auto servers_follower::end_lapsed(time_point now) -> void
{
    for (auto item = this->lapsed.begin(); item != this->lapsed.end();) {
        if (item->second > now) {
            ++item;
            continue;
        }
        common::log(
            log_part::members, log_level::info, "server gone server=" + item->first.value());
        this->core->servers.apply({item->first, std::nullopt});
        this->core->health.forget(item->first);
        for (auto& [service, paces] : this->core->paces) {
            paces.forget(item->first);
        }
        item = this->lapsed.erase(item);
    }
}

} // namespace reedramp::router
