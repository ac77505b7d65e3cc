#include "router/servers_follower.hpp"

#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

using common::log_level;
using common::log_part;

namespace {

/// Interval of peer reports, which may make a reading unnecessary or due at once.
constexpr std::chrono::milliseconds check_interval{100};

} // namespace

servers_follower::servers_follower(
    std::shared_ptr<router_core> core_to_feed,
    shared_store store_to_read,
    follower_options options_to_use,
    std::shared_ptr<servers_list> list_to_feed,
    servers_follower_hooks hooks_to_use)
    : core(std::move(core_to_feed)), store(std::move(store_to_read)), options(options_to_use),
      list(std::move(list_to_feed)), hooks(std::move(hooks_to_use))
{
}

auto servers_follower::read_next() -> void
{
    const auto known_to = this->list->known_to();
    this->store.read_servers(
        known_to ? std::optional{stream_position{*known_to}} : std::nullopt,
        [self = this->shared_from_this(), asked_at = this->core->hooks.clock()](
            const common::result<reading>& found) { self->on_reading(found, asked_at); });
}

auto servers_follower::schedule_read(std::chrono::milliseconds wait) -> void
{
    this->core->hooks.timer(
        this->core->hooks.clock() + wait, [self = this->shared_from_this()] { self->read_next(); });
}

auto servers_follower::is_due(time_point now) const -> bool
{
    const auto rank = this->hooks.rank ? this->hooks.rank() : reader_rank{};
    return this->core->freshness.is_due(rank.rank, now, rank.is_reader);
}

auto servers_follower::read_when_due() -> void
{
    const auto now = this->core->hooks.clock();
    this->core->hooks.timer(now + check_interval, [self = this->shared_from_this()] {
        if (self->is_due(self->core->hooks.clock())) {
            self->read_next();
        }
        else {
            self->read_when_due();
        }
    });
}

auto servers_follower::on_failure(const common::error& why, time_point asked_at) -> void
{
    if (why.code == common::result_code::log_trimmed && this->list->known_to()) {
        // The store works but has trimmed its history. A pause would prolong the time in which a
        // server that left is still used.
        common::log(log_part::members, log_level::info, "history trimmed, reading the whole list");
        this->list->reset_position();
        this->read_next();
        return;
    }
    if (!std::exchange(this->is_store_lost, true)) {
        common::log(log_part::members, log_level::warning, "store lost what=" + why.detail);
    }
    this->core->freshness.note_failure(asked_at);
    this->schedule_read(pause_after_failure(*this->core, this->options));
}

auto servers_follower::on_reading(const common::result<reading>& found, time_point asked_at) -> void
{
    if (!found) {
        this->on_failure(found.error(), asked_at);
        return;
    }
    if (std::exchange(this->is_store_lost, false)) {
        common::log(log_part::members, log_level::info, "store recovered");
        if (this->hooks.on_store_recovered) {
            this->hooks.on_store_recovered();
        }
    }
    const auto read = this->list->apply_reading(*found, asked_at);
    if (this->hooks.on_read) {
        this->hooks.on_read(read);
    }
    this->read_when_due();
}

} // namespace reedramp::router
