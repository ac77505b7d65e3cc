#include "control/orders.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "common/log.hpp"

namespace reedramp::control {

namespace {

auto say(common::log_level level, const std::string& sentence) -> void
{
    common::log(common::log_part::orders, level, sentence);
}

auto name_of(order_action action) -> std::string
{
    return action == order_action::load ? "load" : "unload";
}

} // namespace

engine_orders::engine_orders(
    order_settings wanted,
    std::optional<common::log_offset> own,
    common::time_point asked_at,
    common::time_point now)
    : settings(wanted), lease(own), old_lease_ends(now + wanted.lease_time + wanted.order_time),
      evidence(asked_at)
{
}

auto engine_orders::held_until() const -> common::time_point
{
    const std::lock_guard guard(this->lock);
    if (!this->lease || this->lost) {
        return common::time_point::min();
    }
    return this->evidence + this->settings.lease_time;
}

auto engine_orders::holds(common::time_point now) const -> bool
{
    return this->lease && !this->lost && now < this->evidence + this->settings.lease_time;
}

auto engine_orders::tick(const engine_plan& plan, common::time_point now) -> std::vector<order_step>
{
    const std::lock_guard guard(this->lock);
    std::vector<order_step> steps;
    if (!this->lease || this->lost) {
        return steps;
    }
    this->expire(now);
    if (this->needs_lease(plan) || now >= this->renewal_sent + this->settings.idle_period) {
        this->renew(now, steps);
    }
    if (this->now_doing != stage::idle) {
        return steps;
    }
    if (now >= this->next_look) {
        this->look(now, steps);
    }
    else if (this->loaded && this->may_order(plan, now)) {
        this->order(plan, now, steps);
    }
    return steps;
}

/// Agents with nothing to order hardly ask the log; hundreds that renew all the time would take the
/// log's reads from those that need them.
auto engine_orders::needs_lease(const engine_plan& plan) const -> bool
{
    if (this->now_doing == stage::fetching || this->now_doing == stage::ordering) {
        return true;
    }
    return this->loaded && this->next_order(plan);
}

/// An answer that never comes must not stop the orders for good. What the call did is not known,
/// so the engine is looked at before anything else.
auto engine_orders::expire(common::time_point now) -> void
{
    if (this->renewal && now >= this->renewal_sent + this->settings.lease_time) {
        this->renewal.reset();
    }
    if (this->now_doing == stage::idle || now < this->call_ends) {
        return;
    }
    this->now_doing = stage::idle;
    this->loaded.reset();
    this->next_look = now;
}

auto engine_orders::renew(common::time_point now, std::vector<order_step>& steps) -> void
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
        this->lose("a newer registration");
        return;
    }
    // As of the question: the answer may have been under way, or this process suspended, since.
    this->evidence = std::max(this->evidence, this->renewal_sent);
}

auto engine_orders::lose(const char* why) -> void
{
    if (!this->lost) {
        say(common::log_level::warning,
            "lease lost number=" + std::to_string(this->lease->value()) + " why=" + why);
    }
    this->lost = true;
}

auto engine_orders::begin(stage next, common::time_point now) -> std::uint64_t
{
    this->now_doing = next;
    this->call = ++this->last_ticket;
    this->call_ends = now + this->settings.answer_time;
    return this->call;
}

auto engine_orders::finish(stage of, std::uint64_t ticket) -> bool
{
    if (this->now_doing != of || this->call != ticket) {
        return false;
    }
    this->now_doing = stage::idle;
    return true;
}

auto engine_orders::look(common::time_point now, std::vector<order_step>& steps) -> void
{
    this->next_look = now + this->settings.look_period;
    steps.emplace_back(read_engine{this->begin(stage::looking, now)});
}

auto engine_orders::on_engine(
    std::uint64_t ticket, common::result<std::set<common::version_id>> seen, common::time_point now)
    -> void
{
    const std::lock_guard guard(this->lock);
    if (!this->finish(stage::looking, ticket)) {
        return;
    }
    if (!seen) {
        this->loaded.reset();
        this->next_look = now + this->settings.retry_after;
        return;
    }
    this->loaded = std::move(*seen);
    if (this->fetched && this->loaded->contains(*this->fetched)) {
        this->fetched.reset();
    }
    this->check_effect(now);
}

/// Engines report with a lag, so an order without effect is not given again at once.
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
        this->next_look = this->next_order_at;
        return;
    }
    this->unconfirmed.reset();
}

auto engine_orders::next_order(const engine_plan& plan) const -> std::optional<engine_order>
{
    // Unloading first makes room for what is to be loaded.
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

auto engine_orders::may_order(const engine_plan& plan, common::time_point now) const -> bool
{
    const auto may_begin = plan.checks_fencing || now >= this->old_lease_ends;
    return may_begin && now >= this->next_order_at && this->holds(now);
}

auto engine_orders::order(
    const engine_plan& plan, common::time_point now, std::vector<order_step>& steps) -> void
{
    const auto next = this->next_order(plan);
    if (!next) {
        return;
    }
    this->current = *next;
    if (next->action == order_action::load && this->fetched != next->version) {
        steps.emplace_back(fetch_weights{this->begin(stage::fetching, now), next->version});
        return;
    }
    const auto ticket = this->begin(stage::ordering, now);
    steps.emplace_back(give_order{ticket, *next, this->lease->value()});
}

auto engine_orders::on_weights(
    std::uint64_t ticket, const common::result<void>& outcome, common::time_point now) -> void
{
    const std::lock_guard guard(this->lock);
    if (!this->finish(stage::fetching, ticket)) {
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
    const auto is_current = this->now_doing == stage::ordering && this->call == ticket;
    return is_current && this->holds(now);
}

auto engine_orders::on_order(
    std::uint64_t ticket, const common::result<void>& outcome, common::time_point now) -> void
{
    const std::lock_guard guard(this->lock);
    if (!this->finish(stage::ordering, ticket)) {
        return;
    }
    const auto code = outcome ? common::result_code::ok : outcome.error().code;
    const auto result = std::string(common::row_of(code).name);
    say(outcome ? common::log_level::info : common::log_level::warning,
        "order=" + name_of(this->current.action) + " version=" + this->current.version.value() +
            " number=" + std::to_string(this->lease->value()) + " result=" + result);
    if (code == common::result_code::fencing_refused) {
        this->lose("the engine knows a newer agent");
        return;
    }
    // Only what the engine itself reports counts, also after an answer that says it was done: an
    // engine that ignores numbers may have got another agent's order in between.
    this->loaded.reset();
    this->next_look = now;
    this->next_order_at = now + this->settings.retry_after;
    this->unconfirmed = this->current;
}

} // namespace reedramp::control
