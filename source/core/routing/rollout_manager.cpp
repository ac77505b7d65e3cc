#include "routing/rollout_manager.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace reedramp::routing {

namespace {

/// Ratio of the new version's share of servers to its share of the work: above 1, since these
/// servers have no prompts cached.
constexpr double canary_room = 1.5;
/// Lower bound for the new version's share of the work, as a fraction of the scheduled share.
constexpr double min_canary_fraction = 0.4;
/// Minimum difference between the first share and the next.
constexpr double min_step = 0.07;
/// An entry that has not reported for this time is taken to have gone; in the largest fleets each
/// entry reports within half of it.
constexpr common::duration peer_timeout = std::chrono::seconds{20};
/// Minimum request rate, per second, at which a fraction of it is meaningful.
constexpr double min_rate = 0.5;

/// Largest share of the sessions that fill a server for the load test. The rest stays with the old
/// version, so that times can be compared.
constexpr double max_load_test_share = 0.9;
/// The same of those that fill it less well, each of which needs more of what a bad version may
/// get.
constexpr double max_share_of_some_fill = 0.5;
/// Requests in flight on the new version, as a multiple of those that fill a server: not all of
/// them are of the kinds that fill it.
constexpr double load_test_margin = 2.0;
/// Evidence from answers at high occupancy, as a logarithm, at which the version has shown itself
/// there: some twelve answers without a failure.
constexpr double proven_at_high_occupancy = -2.0;

} // namespace

auto rollout_manager::states(time_point now) const -> std::vector<rollout_progress>
{
    std::vector<rollout_progress> all;
    for (const auto& [service, one] : this->rollouts) {
        const auto passed = this->elapsed(one, now);
        all.push_back(
            {{service, one.order.target, one.state},
             this->share_of(one, now),
             passed,
             this->left_on_old(one, now),
             this->held_target(service)});
    }
    return all;
}

auto rollout_manager::elapsed(const rollout& one, time_point now) const -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - one.began);
}

auto rollout_manager::may_move(const rollout& one, time_point now) const -> bool
{
    return one.reached_load_test_share > 0.0 ||
           this->share_of(one, now) > this->schedule_of(one).first_share;
}

auto rollout_manager::share_of(const rollout& one, time_point now) const -> double
{
    const auto schedule = this->schedule_of(one);
    const auto planned = share_at(schedule, this->elapsed(one, now), one.order.allowed);
    const auto held = std::max(one.reached_share, std::min(planned, schedule.first_share));
    return planned > held && this->is_growth_held(one, now) ? held
                                                            : std::max(planned, one.reached_share);
}

auto rollout_manager::first_share_at_most(const rollout& one) const -> double
{
    if (one.first_share > 0.0) {
        return std::max(one.first_share, this->settings.schedule.first_share);
    }
    const auto largest = this->settings.exposure_slack > 0.0 ? this->settings.max_first_share : 0.0;
    return std::max(largest, this->settings.schedule.first_share);
}

auto rollout_manager::schedule_of(const rollout& one) const -> rollout_schedule
{
    auto schedule = this->settings.schedule;
    schedule.first_share = std::max(schedule.first_share, one.first_share);
    schedule.second_share = std::max(schedule.second_share, schedule.first_share + min_step);
    return schedule;
}

auto rollout_manager::share_for(const rollout& one, fill_level fill) -> double
{
    switch (fill) {
    case fill_level::little:
        return one.reached_share;
    case fill_level::some:
        return std::max(
            one.reached_share, std::min(one.reached_load_test_share, max_share_of_some_fill));
    case fill_level::most:
        return std::max(one.reached_share, one.reached_load_test_share);
    }
    return one.reached_share;
}

auto rollout_manager::usage_of(const rollout& one) const -> service_usage
{
    const auto found = this->usages.find(one.order.service);
    return found == this->usages.end() ? service_usage{} : found->second;
}

auto rollout_manager::load_test_share(const rollout& one, time_point now) const -> double
{
    const auto begins = one.order.allowed * this->settings.schedule.second_at;
    const bool is_doubtful =
        one.evidence.log_against().high_occupancy > this->settings.high_occupancy_doubt;
    const auto usage = this->usage_of(one);
    const auto rate = this->rates.find(one.order.service);
    if (this->elapsed(one, now) < begins || is_doubtful || !this->may_load_test(one) ||
        usage.slots == 0 || !usage.has_sessions || rate == this->rates.end()) {
        return 0.0;
    }
    const auto own_rate = std::max(rate->second.per_second(now), min_rate);
    const auto used = usage.in_flight.mean() * this->total_rate(one, now) / own_rate;
    const auto wanted = high_occupancy_part * static_cast<double>(usage.slots);
    return std::min(used > wanted ? load_test_margin * wanted / used : 1.0, max_load_test_share);
}

auto rollout_manager::total_rate(const rollout& one, time_point now) const -> double
{
    const auto own = this->rates.find(one.order.service);
    double sum = own == this->rates.end() ? 0.0 : own->second.per_second(now);
    double known = 1.0;
    for (const auto& [peer, reports] : one.peers) {
        if (now - reports.last_heard < peer_timeout) {
            sum += reports.rate;
            known += 1.0;
        }
    }
    // In a large fleet only a few peers have reported since the order; the others are assumed to
    // have the same rate on average.
    const auto alive = std::ranges::count_if(this->peers_last_heard, [now](const auto& item) {
        return now - item.second < peer_timeout;
    });
    return sum * std::max(1.0, (1.0 + static_cast<double>(alive)) / known);
}

auto rollout_manager::planned_first_share(const rollout& one, time_point now) const -> double
{
    const auto& schedule = this->settings.schedule;
    const auto seconds = std::chrono::duration<double>(one.order.allowed).count();
    const auto requests = this->total_rate(one, now) * seconds * schedule.second_at;
    // With so few requests nothing is known about the service.
    if (requests < this->settings.exposure_slack) {
        return schedule.first_share;
    }
    const auto extra = this->settings.exposure_slack * this->settings.slack_part / requests;
    return std::clamp(
        schedule.first_share + extra,
        schedule.first_share,
        std::max(schedule.first_share, this->settings.max_first_share));
}

auto rollout_manager::is_growth_held(const rollout& one, time_point now) const -> bool
{
    const auto latest = one.order.allowed * this->settings.schedule.latest_growth;
    const auto against = one.evidence.log_against();
    const bool is_doubtful = against.overall > this->settings.growth_below ||
                             against.high_occupancy > this->settings.high_occupancy_doubt;
    const bool is_unproven = needs_load_test(one) && this->usage_of(one).slots > 0;
    if (against.overall > this->settings.growth_below && this->is_isolated(now)) {
        // Peers may know that the version fails. Only what was seen here speaks for it.
        return true;
    }
    return (is_doubtful || is_unproven) && this->elapsed(one, now) < latest;
}

auto rollout_manager::must_revert(const rollout& one, time_point now) const -> bool
{
    const auto latest = one.order.allowed * this->settings.schedule.doubt_until;
    const bool is_late = one.reached_share < 1.0 && this->elapsed(one, now) >= latest;
    const auto against = one.evidence.log_against();
    const bool is_doubtful = against.strongest_of_all >= this->settings.late_evidence_limit ||
                             against.high_occupancy >= this->settings.high_occupancy_doubt;
    return one.evidence.is_worse() || (is_late && is_doubtful);
}

auto rollout_manager::refresh(rollout& one, time_point now) -> void
{
    if (one.state != rollout_state::running) {
        return;
    }
    if (one.first_share == 0.0 && this->elapsed(one, now) >= this->settings.schedule.begins_after) {
        one.first_share = this->planned_first_share(one, now);
    }
    if (!this->must_revert(one, now)) {
        one.reached_load_test_share =
            std::max(one.reached_load_test_share, this->load_test_share(one, now));
        const auto share = this->share_of(one, now);
        if (share != std::exchange(one.reached_share, share)) {
            common::log(
                common::log_part::rollout,
                common::log_level::info,
                "share changed " + this->describe(one, now));
        }
        return;
    }
    one.state = rollout_state::reverted;
    this->note_end(one.order.service, one.order.target, one.state);
    common::log(
        common::log_part::rollout,
        common::log_level::warning,
        "new version judged worse, reverting " + this->describe(one, now));
}

auto rollout_manager::spread_of(const rollout& one, session_kind kind, time_point now) const
    -> double
{
    // Requests without a session come all at once in their part of a cycle.
    if (one.reached_share >= 1.0 || kind == session_kind::single_request) {
        return 1.0;
    }
    // Sessions that stay on the old version leave the new one less than its share, so the observed
    // share of the work is used. An entry with few requests knows it only roughly.
    const auto all = this->rates.find(one.order.service);
    const auto ours = this->version_rates.find({one.order.service, one.order.target});
    const bool is_known = all != this->rates.end() && ours != this->version_rates.end();
    const double part =
        is_known ? ours->second.per_second(now) / std::max(all->second.per_second(now), min_rate)
                 : 0.0;
    const double least = one.reached_share * min_canary_fraction;
    return std::clamp(part, least, one.reached_share) * canary_room;
}

auto rollout_manager::needs_load_test(const rollout& one) -> bool
{
    return one.evidence.log_against().high_occupancy > proven_at_high_occupancy;
}

auto rollout_manager::may_load_test(const rollout& one) const -> bool
{
    // A busy server says less about how fast its version is. Plain servers answer as fast up to
    // their slots.
    const bool is_fast_enough = one.evidence.log_against().overall <= this->settings.growth_below;
    return needs_load_test(one) && (is_fast_enough || !this->usage_of(one).has_sessions);
}

auto rollout_manager::describe(const rollout& one, time_point now) const -> std::string
{
    const auto against = one.evidence.log_against();
    return "service=" + one.order.service.value() + " target=" + one.order.target.value() +
           " elapsed_ms=" + std::to_string(this->elapsed(one, now).count()) +
           " share=" + std::to_string(one.reached_share) +
           " load_test_share=" + std::to_string(one.reached_load_test_share) +
           " log_against=" + std::to_string(against.strongest) +
           " overall=" + std::to_string(against.overall) +
           " signal=" + std::string{policy::to_string(against.strongest_signal)} +
           " route=" + (against.strongest_route ? against.strongest_route->value() : "all") +
           " occupancy=" + (against.strongest_at == occupancy::high ? "high" : "any") +
           " at_high_occupancy=" + std::to_string(against.high_occupancy);
}

auto rollout_manager::rule_for(
    const common::service_name& service,
    std::uint64_t session,
    time_point now,
    request_traits request) -> version_rule
{
    const auto found = this->rollouts.find(service);
    if (found == this->rollouts.end()) {
        return {};
    }
    auto& one = found->second;
    const auto& target = one.order.target;
    this->settle_losses(service, now);
    auto& has_sessions = this->usages[service].has_sessions;
    has_sessions = has_sessions || request.kind == session_kind::several_requests;
    this->refresh(one, now);
    const auto& history = this->histories[service];
    if (one.state == rollout_state::complete) {
        return {target, history.excluded, 1.0};
    }
    version_rule stays{history.current, history.excluded, 1.0};
    stays.barred.insert(target);
    if (one.state == rollout_state::reverted) {
        return stays;
    }
    if (!this->uses_new_version(one, session, request, now)) {
        return stays;
    }
    return {
        target,
        history.excluded,
        this->spread_of(one, request.kind, now),
        this->may_load_test(one)};
}

auto rollout_manager::uses_new_version(
    const rollout& one, std::uint64_t session, const request_traits& request, time_point now) const
    -> bool
{
    const auto& order = one.order;
    const auto share = share_for(one, request.fill);
    const bool is_meant = request.kind == session_kind::single_request
                              ? is_in_cycle_share(this->elapsed(one, now), share)
                              : is_in_share(session, share);
    const bool may_move = this->may_move(one, now);
    if (const auto used = this->sessions.version_of(order.service, session, now)) {
        return *used == order.target || (is_meant && may_move);
    }
    const bool is_kept = !may_move && this->sessions.is_old_at_peer(order.service, session, now);
    return is_meant && !is_kept;
}

auto rollout_manager::has_grounds_to_complete(const rollout& one, time_point now) const -> bool
{
    // "Complete" stops the old version, whatever peers know that are not heard.
    return !this->is_isolated(now) ||
           one.evidence.log_against().overall <= this->settings.growth_below;
}

auto rollout_manager::due_states(time_point now) const -> std::vector<rollout_status>
{
    std::vector<rollout_status> wanted;
    for (const auto& [service, one] : this->rollouts) {
        auto state = one.state;
        const auto passed = static_cast<double>(this->elapsed(one, now).count());
        const auto part =
            passed / std::max<double>(1.0, static_cast<double>(one.order.allowed.count()));
        const auto& schedule = this->settings.schedule;
        // "Complete" stops the old version's servers, which are the only ones then.
        const bool has_servers = one.has_servers.value_or(true);
        const bool is_moved = has_servers && part >= schedule.full_at &&
                              this->share_of(one, now) >= 1.0 && this->left_on_old(one, now) == 0;
        if (state == rollout_state::running && this->must_revert(one, now)) {
            state = rollout_state::reverted;
        }
        else if (
            state == rollout_state::running && (is_moved || part >= schedule.complete_at) &&
            this->has_grounds_to_complete(one, now)) {
            state = has_servers ? rollout_state::complete : rollout_state::reverted;
        }
        const bool is_over = one.written && *one.written != rollout_state::running;
        if (!is_over && (!one.written || *one.written != state)) {
            wanted.push_back({service, one.order.target, state});
        }
    }
    return wanted;
}

} // namespace reedramp::routing
