#include "router/servers_follower.hpp"

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

auto servers_follower::read_later(std::chrono::milliseconds wait) -> void
{
    this->core->hooks.timer(
        this->core->hooks.clock() + wait, [self = this->shared_from_this()] { self->read_next(); });
}

auto servers_follower::is_due(time_point now) const -> bool
{
    const auto turn = this->hooks.turn ? this->hooks.turn() : reader_rank{};
    return this->core->freshness.is_due(turn.rank, now, turn.is_reader);
}

auto servers_follower::read_when_due() -> void
{
    const auto now = this->core->hooks.clock();
    this->core->hooks.timer(now + between_checks, [self = this->shared_from_this()] {
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
        // The store is there, and has no more of its history. A pause here would come on top of the
        // time in which a server that left is still used.
        common::log(log_part::members, log_level::info, "history trimmed, reading all");
        this->list->forget_position();
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
    if (std::exchange(this->is_lost, false)) {
        common::log(log_part::members, log_level::info, "store regained");
        if (this->hooks.on_regained) {
            this->hooks.on_regained();
        }
    }
    const auto read = this->list->take_reading(*found, asked_at);
    if (this->hooks.on_read) {
        this->hooks.on_read(read);
    }
    this->read_when_due();
}

} // namespace reedramp::router
