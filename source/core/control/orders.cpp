#include "control/orders.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "common/log.hpp"

namespace reedramp::control {

namespace {

auto log(common::log_level level, const std::string& text) -> void
{
    common::log(common::log_part::orders, level, text);
}

auto name_of(order_action action) -> std::string
{
    return action == order_action::load ? "load" : "unload";
}

} // namespace

engine_orders::engine_orders(
    order_settings wanted,
    std::optional<common::log_offset> own_lease,
    common::time_point registration_sent_at,
    common::time_point now)
    : settings(wanted), lease(own_lease),
      old_lease_end(now + wanted.lease_time + wanted.order_delivery_time),
      lease_confirmed_at(registration_sent_at)
{
}

auto engine_orders::held_until() const -> common::time_point
{
    const std::lock_guard guard(this->lock);
    if (!this->lease || this->lease_lost) {
        return common::time_point::min();
    }
    return this->lease_confirmed_at + this->settings.lease_time;
}

auto engine_orders::holds_lease(common::time_point now) const -> bool
{
    return this->lease && !this->lease_lost &&
           now < this->lease_confirmed_at + this->settings.lease_time;
}

auto engine_orders::tick(const engine_plan& plan, common::time_point now) -> std::vector<order_step>
{
    const std::lock_guard guard(this->lock);
    std::vector<order_step> steps;
    if (!this->lease || this->lease_lost) {
        return steps;
    }
    this->expire_calls(now);
    if (this->needs_lease(plan) || now >= this->renewal_sent + this->settings.idle_period) {
        this->renew_lease(now, steps);
    }
    if (this->current_stage != stage::idle) {
        return steps;
    }
    if (now >= this->next_engine_read) {
        this->read_engine_state(now, steps);
    }
    else if (this->loaded && this->may_send_order(plan, now)) {
        this->begin_next_order(plan, now, steps);
    }
    return steps;
}

/// An agent without an order to send renews its lease only at the idle interval: frequent renewals
/// of hundreds of agents would use up the read rate of the log.
auto engine_orders::needs_lease(const engine_plan& plan) const -> bool
{
    if (this->current_stage == stage::fetching_weights ||
        this->current_stage == stage::sending_order) {
        return true;
    }
    return this->loaded && this->next_order(plan);
}

/// A response that never arrives must not block the orders forever. The effect of the call is then
/// unknown, so the engine's state is read before anything else is done.
auto engine_orders::expire_calls(common::time_point now) -> void
{
    if (this->renewal && now >= this->renewal_sent + this->settings.lease_time) {
        this->renewal.reset();
    }
    if (this->current_stage == stage::idle || now < this->call_deadline) {
        return;
    }
    this->current_stage = stage::idle;
    this->loaded.reset();
    this->next_engine_read = now;
}

auto engine_orders::renew_lease(common::time_point now, std::vector<order_step>& steps) -> void
{
    if (this->renewal || now < this->next_renewal) {
        return;
    }
    this->renewal = ++this->last_ticket;
    this->renewal_sent = now;
    this->next_renewal = now + this->settings.renew_period;
    steps.emplace_back(read_registrations{*this->renewal});
}

auto engine_orders::on_registrations(
    std::uint64_t ticket, const common::result<common::log_offset>& newest, common::time_point now)
    -> void
{
    const std::lock_guard guard(this->lock);
    if (!this->renewal || *this->renewal != ticket) {
        return;
    }
    this->renewal.reset();
    if (!newest) {
        this->next_renewal = now + this->settings.retry_after;
        return;
    }
    if (*newest > *this->lease) {
        this->lose_lease("a newer registration");
        return;
    }
    // The time of the request counts, not that of the response: the response may have been delayed,
    // or this process suspended, in between.
    this->lease_confirmed_at = std::max(this->lease_confirmed_at, this->renewal_sent);
}

auto engine_orders::lose_lease(const char* why) -> void
{
    if (!this->lease_lost) {
        log(common::log_level::warning,
            "lease lost number=" + std::to_string(this->lease->value()) + " why=" + why);
    }
    this->lease_lost = true;
}

auto engine_orders::begin_call(stage next, common::time_point now) -> std::uint64_t
{
    this->current_stage = next;
    this->call_ticket = ++this->last_ticket;
    this->call_deadline = now + this->settings.call_timeout;
    return this->call_ticket;
}

auto engine_orders::finish_call(stage of, std::uint64_t ticket) -> bool
{
    if (this->current_stage != of || this->call_ticket != ticket) {
        return false;
    }
    this->current_stage = stage::idle;
    return true;
}

auto engine_orders::read_engine_state(common::time_point now, std::vector<order_step>& steps)
    -> void
{
    this->next_engine_read = now + this->settings.engine_read_period;
    steps.emplace_back(read_engine{this->begin_call(stage::reading_engine, now)});
}

auto engine_orders::on_engine(
    std::uint64_t ticket, common::result<std::set<common::version_id>> seen, common::time_point now)
    -> void
{
    const std::lock_guard guard(this->lock);
    if (!this->finish_call(stage::reading_engine, ticket)) {
        return;
    }
    if (!seen) {
        this->loaded.reset();
        this->next_engine_read = now + this->settings.retry_after;
        return;
    }
    this->loaded = std::move(*seen);
    if (this->fetched && this->loaded->contains(*this->fetched)) {
        this->fetched.reset();
    }
    this->check_effect(now);
}

/// Engines report their state with a delay, so an order without a visible effect is not repeated at
/// once.
auto engine_orders::check_effect(common::time_point now) -> void
{
    if (!this->unconfirmed) {
        return;
    }
    const auto is_load = this->unconfirmed->action == order_action::load;
    if (this->loaded->contains(this->unconfirmed->version) == is_load) {
        this->unconfirmed.reset();
        this->next_order_at = now;
        return;
    }
    if (now < this->next_order_at) {
        this->next_engine_read = this->next_order_at;
        return;
    }
    this->unconfirmed.reset();
}

auto engine_orders::next_order(const engine_plan& plan) const -> std::optional<engine_order>
{
    // Unloading first frees memory for the versions to load.
    for (const auto& version : plan.unwanted) {
        if (this->loaded->contains(version)) {
            return engine_order{order_action::unload, version};
        }
    }
    for (const auto& version : plan.wanted) {
        if (!this->loaded->contains(version) && !plan.unwanted.contains(version)) {
            return engine_order{order_action::load, version};
        }
    }
    return std::nullopt;
}

auto engine_orders::may_send_order(const engine_plan& plan, common::time_point now) const -> bool
{
    const auto old_lease_ended = plan.checks_fencing || now >= this->old_lease_end;
    return old_lease_ended && now >= this->next_order_at && this->holds_lease(now);
}

auto engine_orders::begin_next_order(
    const engine_plan& plan, common::time_point now, std::vector<order_step>& steps) -> void
{
    const auto next = this->next_order(plan);
    if (!next) {
        return;
    }
    this->current = *next;
    if (next->action == order_action::load && this->fetched != next->version) {
        steps.emplace_back(
            fetch_weights{this->begin_call(stage::fetching_weights, now), next->version});
        return;
    }
    const auto ticket = this->begin_call(stage::sending_order, now);
    steps.emplace_back(send_order{ticket, *next, this->lease->value()});
}

auto engine_orders::on_weights(
    std::uint64_t ticket, const common::result<void>& outcome, common::time_point now) -> void
{
    const std::lock_guard guard(this->lock);
    if (!this->finish_call(stage::fetching_weights, ticket)) {
        return;
    }
    if (outcome) {
        this->fetched = this->current.version;
        return;
    }
    const auto later = now + this->settings.retry_after;
    this->next_order_at = std::max(later, outcome.error().retry_at.value_or(later));
}

auto engine_orders::authorise(std::uint64_t ticket, common::time_point now) const -> bool
{
    const std::lock_guard guard(this->lock);
    const auto is_current =
        this->current_stage == stage::sending_order && this->call_ticket == ticket;
    return is_current && this->holds_lease(now);
}

auto engine_orders::on_order(
    std::uint64_t ticket, const common::result<void>& outcome, common::time_point now) -> void
{
    const std::lock_guard guard(this->lock);
    if (!this->finish_call(stage::sending_order, ticket)) {
        return;
    }
    const auto code = outcome ? common::result_code::ok : outcome.error().code;
    const auto result = std::string(common::row_of(code).name);
    log(outcome ? common::log_level::info : common::log_level::warning,
        "order=" + name_of(this->current.action) + " version=" + this->current.version.value() +
            " number=" + std::to_string(this->lease->value()) + " result=" + result);
    if (code == common::result_code::fencing_refused) {
        this->lose_lease("the engine knows a newer agent");
        return;
    }
    // Even after a success only the state that the engine reports counts: an engine that does not
    // check fencing numbers may have received another agent's order in between.
    this->loaded.reset();
    this->next_engine_read = now;
    this->next_order_at = now + this->settings.retry_after;
    this->unconfirmed = this->current;
}

} // namespace reedramp::control
