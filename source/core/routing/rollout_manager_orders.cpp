#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "routing/rollout_manager.hpp"

/// The part of `rollout_manager` that decides which order is in force, and keeps its published
/// state.
namespace reedramp::routing {

namespace {

auto log_order(common::log_level level, const char* what, const rollout_order& order) -> void
{
    common::log(
        common::log_part::rollout,
        level,
        std::string{what} + " service=" + order.service.value() + " target=" +
            order.target.value() + " allowed_ms=" + std::to_string(order.allowed.count()) +
            " position=" + std::to_string(order.at.offset()));
}

auto instances_of(
    const server_table& servers,
    const common::service_name& service,
    const common::version_id& version) -> std::vector<server_instance>
{
    std::vector<server_instance> found;
    for (const auto* one : servers.usable(service)) {
        if (one->version == version) {
            found.push_back(one->instance());
        }
    }
    return found;
}

} // namespace

auto rollout_manager::apply_order(
    const rollout_order& wanted, time_point now, const order_origin& origin) -> void
{
    this->known_since = this->known_since.value_or(now);
    auto& orders = this->histories[wanted.service].orders;
    if (orders.has_judged(wanted.at)) {
        return;
    }
    orders.note_judged(wanted.at);
    const auto found = this->rollouts.find(wanted.service);
    const bool is_present =
        found != this->rollouts.end() && found->second.order.asks_same_as(wanted);
    const bool has_position = wanted.at != stream_position{};
    if (is_present && (found->second.state != rollout_state::reverted || !has_position)) {
        return;
    }
    if (is_present || orders.may_be_late_write(wanted, origin.written_after.value_or(now))) {
        this->hold(wanted, now, hold_reason::repeats_past);
        return;
    }
    if (found != this->rollouts.end() && this->must_show_servers(wanted, found->second)) {
        this->hold(wanted, now, hold_reason::has_no_servers);
        return;
    }
    const bool is_young = now - *this->known_since < late_write_time;
    this->begin(wanted, now, origin.is_newest_only || is_young);
}

auto rollout_manager::must_show_servers(const rollout_order& wanted, const rollout& present) const
    -> bool
{
    const auto known = this->early_states.find(wanted.service);
    const bool is_begun_elsewhere =
        known != this->early_states.end() && known->second.target == wanted.target;
    return present.state == rollout_state::running && !present.is_of_earlier_era &&
           this->histories.at(wanted.service).has_servers && !is_begun_elsewhere;
}

auto rollout_manager::hold(const rollout_order& wanted, time_point now, hold_reason why) -> void
{
    this->histories[wanted.service].orders.hold({wanted, now, why});
    log_order(
        common::log_level::warning,
        why == hold_reason::repeats_past
            ? "order held until servers of its version start, as it repeats a past one"
            : "order held until its version has servers, as another one is under way",
        wanted);
}

auto rollout_manager::held_target(const common::service_name& service) const
    -> std::optional<common::version_id>
{
    const auto found = this->histories.find(service);
    const bool is_held = found != this->histories.end() && found->second.orders.held();
    return is_held ? std::optional{found->second.orders.held()->order.target} : std::nullopt;
}

auto rollout_manager::begin(const rollout_order& wanted, time_point now, bool is_guess) -> void
{
    this->order_count += 1;
    this->losses.erase(wanted.service);
    auto& history = this->histories[wanted.service];
    const auto found = this->rollouts.find(wanted.service);
    const auto known = this->early_states.find(wanted.service);
    bool is_given_again = history.orders.was_replaced(wanted);
    if (found != this->rollouts.end()) {
        is_given_again = is_given_again || found->second.order.asks_same_as(wanted);
        this->replace(found->second, now);
    }
    else if (
        known != this->early_states.end() && known->second.target != wanted.target &&
        known->second.state == rollout_state::running) {
        // Another order was replaced before its version was proven.
        history.excluded.insert(known->second.target);
    }
    const auto baseline = this->baselines.extract(wanted.service);
    rollout fresh{
        wanted,
        now,
        rollout_state::running,
        std::nullopt,
        baseline.empty() ? version_evidence{this->settings.evidence} : baseline.mapped(),
        {},
        0.0,
        0.0,
        0.0};
    fresh.is_guess = is_guess;
    fresh.is_given_again = is_given_again;
    fresh.awaits_own_state = is_given_again;
    if (!is_given_again && known != this->early_states.end() &&
        known->second.target == wanted.target) {
        fresh.state = known->second.state;
        fresh.written = known->second.state;
    }
    if (fresh.state != rollout_state::reverted) {
        history.excluded.erase(wanted.target);
    }
    history.orders.drop_held();
    log_order(
        common::log_level::info,
        ("ordered state=" + std::string{to_string(fresh.state)}).c_str(),
        wanted);
    this->rollouts.insert_or_assign(wanted.service, std::move(fresh));
}

auto rollout_manager::replace(const rollout& one, time_point now) -> void
{
    auto& history = this->histories[one.order.service];
    if (one.state == rollout_state::running) {
        // The store holds the outcome, but it may become known here only after the next order. If
        // all sessions had moved to the new version, they stay on it. If not, it was not proven,
        // and would get requests like an old version.
        if (this->share_of(one, now) >= 1.0 && one.has_servers.value_or(true)) {
            this->note_end(one.order.service, one.order.target, rollout_state::complete);
        }
        else {
            history.excluded.insert(one.order.target);
        }
    }
    history.orders.note_replaced(one.order, now);
}

auto rollout_manager::apply_restored_order(const rollout_order& wanted, time_point now) -> void
{
    auto& orders = this->histories[wanted.service].orders;
    const auto found = this->rollouts.find(wanted.service);
    const bool is_present =
        found != this->rollouts.end() && found->second.order.asks_same_as(wanted);
    if (!is_present && !orders.was_replaced(wanted)) {
        this->apply_order(wanted, now);
        return;
    }
    orders.note_judged(wanted.at);
    if (!is_present) {
        log_order(common::log_level::info, "ignored an order that a later one replaced", wanted);
    }
}

auto rollout_manager::needs_history(stream_position first) const -> bool
{
    return std::ranges::any_of(this->rollouts, [first](const auto& item) {
        return item.second.is_guess && item.second.order.at >= first;
    });
}

auto rollout_manager::apply_history(
    const std::vector<rollout_order>& past, const server_table& servers, time_point now) -> void
{
    std::set<common::service_name> affected;
    for (const auto& order : past) {
        const auto found = this->rollouts.find(order.service);
        if (found != this->rollouts.end() && found->second.is_guess) {
            affected.insert(order.service);
        }
    }
    for (const auto& service : affected) {
        this->rollouts.erase(service);
        this->histories[service].orders = {};
    }
    for (const auto& order : past) {
        if (affected.contains(order.service)) {
            this->apply_order(order, now);
            this->apply_servers(servers, now);
        }
    }
}

auto rollout_manager::is_confirmed(
    const held_order& held, const rollout& in_force, const server_table& servers) const -> bool
{
    const auto& service = held.order.service;
    const auto of_held = instances_of(servers, service, held.order.target);
    if (held.why == hold_reason::has_no_servers) {
        return !of_held.empty();
    }
    const bool is_same = held.order.asks_same_as(in_force.order);
    const auto to_exceed =
        is_same ? 0 : instances_of(servers, service, in_force.order.target).size();
    return this->histories.at(service).orders.has_new_servers(
        held.order.target, of_held, to_exceed);
}

auto rollout_manager::apply_servers(const server_table& servers, time_point now) -> void
{
    std::vector<held_order> confirmed;
    for (auto& [service, one] : this->rollouts) {
        auto& history = this->histories[service];
        const auto& target = one.order.target;
        const auto in_force = instances_of(servers, service, target);
        history.has_servers = !servers.usable(service).empty();
        one.has_servers = history.has_servers ? std::optional{!in_force.empty()} : std::nullopt;
        const bool is_published = one.state != rollout_state::running && one.written == one.state;
        if (!is_published || !history.orders.has_seen(target)) {
            history.orders.note_servers(target, in_force);
        }
        const auto held = history.orders.held();
        if (!held) {
            continue;
        }
        const auto& wanted = held->order.target;
        if (!history.orders.has_seen(wanted)) {
            history.orders.note_servers(wanted, instances_of(servers, service, wanted));
        }
        if (this->is_confirmed(*held, one, servers)) {
            confirmed.push_back(*held);
        }
    }
    for (const auto& held : confirmed) {
        log_order(common::log_level::info, "held order was given", held.order);
        this->begin(held.order, std::min(held.since, now), false);
    }
}

auto rollout_manager::note_new_era() -> void
{
    for (auto& [service, one] : this->rollouts) {
        one.written.reset();
        one.is_of_earlier_era = true;
    }
    for (auto& [service, history] : this->histories) {
        history.orders.note_new_era();
    }
}

auto rollout_manager::apply_status(const rollout_status& status) -> void
{
    this->early_states.insert_or_assign(status.service, status);
    const auto found = this->rollouts.find(status.service);
    if (found == this->rollouts.end() || found->second.order.target != status.target) {
        this->note_end(status.service, status.target, status.state);
        return;
    }
    const bool is_final = status.state != rollout_state::running;
    if (found->second.awaits_own_state && is_final && found->second.state != status.state) {
        return;
    }
    const auto held = this->histories[status.service].orders.held();
    const bool is_begun_elsewhere = !is_final && held &&
                                    held->order.asks_same_as(found->second.order) &&
                                    found->second.state == rollout_state::reverted;
    if (is_begun_elsewhere) {
        this->begin(rollout_order{held->order}, held->since, false);
    }
    auto& one = this->rollouts.at(status.service);
    one.awaits_own_state = false;
    one.written = status.state;
    this->note_end(status.service, status.target, status.state);
    // The outcome in the store is final, whatever this entry would have decided.
    if (is_final && one.state != status.state) {
        one.state = status.state;
        common::log(
            common::log_part::rollout,
            common::log_level::info,
            "ended service=" + status.service.value() + " target=" + status.target.value() +
                " state=" + std::string{to_string(status.state)});
    }
}

} // namespace reedramp::routing
