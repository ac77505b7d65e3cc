#include "routing/rollout_guide.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace reedramp::routing {

namespace {

/// Servers of the new version that get its part of the work, against that part: more than it asks
/// for, since they read all prompts anew.
constexpr double canary_room = 1.5;
/// The part is taken to be at least this of the share.
constexpr double least_canary_part = 0.4;
/// Between the first share and the next.
constexpr double least_step = 0.07;
/// An entry that has not been heard for this long has gone; in the largest fleets each is heard
/// within half of it.
constexpr common::duration peer_known_for = std::chrono::seconds{20};
/// Requests a second below which a part of them says nothing.
constexpr double least_rate = 0.5;

} // namespace

auto rollout_guide::order(const rollout_order& wanted, time_point now) -> void
{
    const auto found = this->rollouts.find(wanted.service);
    if (found != this->rollouts.end() && found->second.order == wanted) {
        return;
    }
    this->orders += 1;
    this->losses.erase(wanted.service);
    if (found != this->rollouts.end()) {
        this->infer_end(found->second, now);
        this->histories[wanted.service].note_replaced(found->second.order);
    }
    const auto usual = this->calm.extract(wanted.service);
    rollout fresh{
        wanted,
        now,
        rollout_state::running,
        std::nullopt,
        usual.empty() ? version_evidence{this->settings.evidence} : usual.mapped(),
        {},
        0.0,
        0.0,
        0.0};
    const auto known = this->early.find(wanted.service);
    if (known != this->early.end() && known->second.target == wanted.target) {
        fresh.state = known->second.state;
        fresh.written = known->second.state;
    }
    this->histories[wanted.service].reverted.erase(wanted.target);
    common::log(
        common::log_part::rollout,
        common::log_level::info,
        "ordered service=" + wanted.service.value() + " target=" + wanted.target.value() +
            " allowed_ms=" + std::to_string(wanted.allowed.count()) +
            " state=" + std::string{to_string(fresh.state)});
    this->rollouts.insert_or_assign(wanted.service, std::move(fresh));
}

auto rollout_guide::service_history::note_replaced(const rollout_order& one) -> void
{
    // More than the seconds of an older copy hold.
    constexpr std::size_t most_replaced = 8;
    this->replaced.push_back(one);
    if (this->replaced.size() > most_replaced) {
        this->replaced.pop_front();
    }
}

auto rollout_guide::order_in_copy(const rollout_order& wanted, time_point now) -> void
{
    const auto& past = this->histories[wanted.service].replaced;
    if (std::ranges::find(past, wanted) == past.end()) {
        this->order(wanted, now);
        return;
    }
    common::log(
        common::log_part::rollout,
        common::log_level::info,
        "order left out, another one replaced it service=" + wanted.service.value() +
            " target=" + wanted.target.value());
}

auto rollout_guide::forget_written() -> void
{
    for (auto& [service, one] : this->rollouts) {
        one.written.reset();
    }
}

auto rollout_guide::infer_end(const rollout& one, time_point now) -> void
{
    // The store says how it ended, but maybe only after the next order. Where all sessions were on
    // the new version, none goes back.
    if (one.state == rollout_state::running && this->share_of(one, now) >= 1.0) {
        this->note_end(one.order.service, one.order.target, rollout_state::complete);
    }
}

auto rollout_guide::learn(const rollout_status& status) -> void
{
    this->early.insert_or_assign(status.service, status);
    this->note_end(status.service, status.target, status.state);
    const auto found = this->rollouts.find(status.service);
    if (found == this->rollouts.end() || found->second.order.target != status.target) {
        return;
    }
    auto& one = found->second;
    one.written = status.state;
    // What the store holds as the end is the end, whatever this entry would have decided.
    if (status.state != rollout_state::running && one.state != status.state) {
        one.state = status.state;
        common::log(
            common::log_part::rollout,
            common::log_level::info,
            "ended service=" + status.service.value() + " target=" + status.target.value() +
                " state=" + std::string{to_string(status.state)});
    }
}

auto rollout_guide::states(time_point now) const -> std::vector<rollout_progress>
{
    std::vector<rollout_progress> all;
    for (const auto& [service, one] : this->rollouts) {
        const auto passed = this->elapsed(one, now);
        all.push_back(
            {{service, one.order.target, one.state},
             this->share_of(one, now),
             passed,
             this->left_on_old(one, now)});
    }
    return all;
}

auto rollout_guide::elapsed(const rollout& one, time_point now) const -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - one.began);
}

auto rollout_guide::may_move(const rollout& one, time_point now) const -> bool
{
    return this->share_of(one, now) > this->schedule_of(one).first_share;
}

auto rollout_guide::share_of(const rollout& one, time_point now) const -> double
{
    const auto schedule = this->schedule_of(one);
    const auto planned = share_at(schedule, this->elapsed(one, now), one.order.allowed);
    const auto held = std::max(one.reached_share, std::min(planned, schedule.first_share));
    return planned > held && this->is_held_up(one, now) ? held
                                                        : std::max(planned, one.reached_share);
}

auto rollout_guide::first_share_at_most(const rollout& one) const -> double
{
    if (one.first_share > 0.0) {
        return std::max(one.first_share, this->settings.schedule.first_share);
    }
    const auto largest =
        this->settings.exposure_slack > 0.0 ? this->settings.largest_first_share : 0.0;
    return std::max(largest, this->settings.schedule.first_share);
}

auto rollout_guide::schedule_of(const rollout& one) const -> rollout_schedule
{
    auto schedule = this->settings.schedule;
    schedule.first_share = std::max(schedule.first_share, one.first_share);
    schedule.second_share = std::max(schedule.second_share, schedule.first_share + least_step);
    return schedule;
}

auto rollout_guide::total_rate(const rollout& one, time_point now) const -> double
{
    const auto own = this->rates.find(one.order.service);
    double sum = own == this->rates.end() ? 0.0 : own->second.per_second(now);
    double known = 1.0;
    for (const auto& [peer, words] : one.peers) {
        if (now - words.heard < peer_known_for) {
            sum += words.rate;
            known += 1.0;
        }
    }
    // In a large fleet few have spoken since the order; the others get as much on average.
    const auto living = std::ranges::count_if(
        this->peers_heard, [now](const auto& item) { return now - item.second < peer_known_for; });
    return sum * std::max(1.0, (1.0 + static_cast<double>(living)) / known);
}

auto rollout_guide::planned_first_share(const rollout& one, time_point now) const -> double
{
    const auto& schedule = this->settings.schedule;
    const auto seconds = std::chrono::duration<double>(one.order.allowed).count();
    const auto requests = this->total_rate(one, now) * seconds * schedule.second_at;
    // Of a service that gets nothing, nothing is known.
    if (requests < this->settings.exposure_slack) {
        return schedule.first_share;
    }
    const auto extra = this->settings.exposure_slack * this->settings.slack_part / requests;
    return std::clamp(
        schedule.first_share + extra,
        schedule.first_share,
        std::max(schedule.first_share, this->settings.largest_first_share));
}

auto rollout_guide::is_held_up(const rollout& one, time_point now) const -> bool
{
    const auto latest = one.order.allowed * this->settings.schedule.latest_growth;
    return one.evidence.log_against().overall > this->settings.growth_from &&
           this->elapsed(one, now) < latest;
}

auto rollout_guide::must_revert(const rollout& one, time_point now) const -> bool
{
    const auto latest = one.order.allowed * this->settings.schedule.doubt_until;
    const bool is_late = one.reached_share < 1.0 && this->elapsed(one, now) >= latest;
    const auto against = one.evidence.log_against().strongest;
    return one.evidence.is_worse() || (is_late && against >= this->settings.late_doubt);
}

auto rollout_guide::refresh(rollout& one, time_point now) -> void
{
    if (one.state != rollout_state::running) {
        return;
    }
    if (one.first_share == 0.0 && this->elapsed(one, now) >= this->settings.schedule.begins_after) {
        one.first_share = this->planned_first_share(one, now);
    }
    if (!this->must_revert(one, now)) {
        const auto share = this->share_of(one, now);
        if (share != std::exchange(one.reached_share, share)) {
            common::log(
                common::log_part::rollout,
                common::log_level::info,
                "share " + this->describe(one, now));
        }
        return;
    }
    one.state = rollout_state::reverted;
    this->note_end(one.order.service, one.order.target, one.state);
    common::log(
        common::log_part::rollout, common::log_level::warning, "worse " + this->describe(one, now));
}

auto rollout_guide::spread_of(const rollout& one, time_point now) const -> double
{
    if (one.reached_share >= 1.0) {
        return 1.0;
    }
    // Sessions that stay on the old version leave the new one less than its share, so what counts
    // is the part that it gets. Of that an entry with few requests knows little.
    const auto all = this->rates.find(one.order.service);
    const auto ours = this->version_rates.find({one.order.service, one.order.target});
    const bool is_known = all != this->rates.end() && ours != this->version_rates.end();
    const double part =
        is_known ? ours->second.per_second(now) / std::max(all->second.per_second(now), least_rate)
                 : 0.0;
    const double least = one.reached_share * least_canary_part;
    return std::clamp(part, least, one.reached_share) * canary_room;
}

auto rollout_guide::describe(const rollout& one, time_point now) const -> std::string
{
    const auto against = one.evidence.log_against();
    return "service=" + one.order.service.value() + " target=" + one.order.target.value() +
           " elapsed_ms=" + std::to_string(this->elapsed(one, now).count()) +
           " share=" + std::to_string(one.reached_share) +
           " log_against=" + std::to_string(against.strongest) +
           " overall=" + std::to_string(against.overall);
}

auto rollout_guide::rule_for(
    const common::service_name& service, std::uint64_t session, time_point now) -> version_rule
{
    const auto found = this->rollouts.find(service);
    if (found == this->rollouts.end()) {
        return {};
    }
    auto& one = found->second;
    const auto& target = one.order.target;
    this->settle_losses(service, now);
    this->refresh(one, now);
    const auto& history = this->histories[service];
    if (one.state == rollout_state::complete) {
        return {target, history.reverted, 1.0};
    }
    version_rule stays{history.current, history.reverted, 1.0};
    stays.barred.insert(target);
    if (one.state == rollout_state::reverted) {
        return stays;
    }
    return this->goes_new(one, session, now)
               ? version_rule{target, history.reverted, this->spread_of(one, now)}
               : stays;
}

auto rollout_guide::goes_new(const rollout& one, std::uint64_t session, time_point now) const
    -> bool
{
    const auto& order = one.order;
    const bool is_meant = is_in_share(session, one.reached_share);
    const bool may_move = this->may_move(one, now);
    if (const auto used = this->sessions.version_of(order.service, session, now)) {
        return *used == order.target || (is_meant && may_move);
    }
    const bool is_kept = !may_move && this->sessions.is_old_elsewhere(order.service, session, now);
    return is_meant && !is_kept;
}

auto rollout_guide::due(time_point now) const -> std::vector<rollout_status>
{
    std::vector<rollout_status> wanted;
    for (const auto& [service, one] : this->rollouts) {
        auto state = one.state;
        const auto passed = static_cast<double>(this->elapsed(one, now).count());
        const auto part =
            passed / std::max<double>(1.0, static_cast<double>(one.order.allowed.count()));
        const auto& schedule = this->settings.schedule;
        const bool is_moved = part >= schedule.full_at && this->share_of(one, now) >= 1.0 &&
                              this->left_on_old(one, now) == 0;
        if (state == rollout_state::running && this->must_revert(one, now)) {
            state = rollout_state::reverted;
        }
        else if (state == rollout_state::running && (is_moved || part >= schedule.complete_at)) {
            state = rollout_state::complete;
        }
        const bool is_over = one.written && *one.written != rollout_state::running;
        if (!is_over && (!one.written || *one.written != state)) {
            wanted.push_back({service, one.order.target, state});
        }
    }
    return wanted;
}

} // namespace reedramp::routing
