#include <algorithm>
#include <utility>

#include "routing/rollout_manager.hpp"

/// The part of `rollout_manager` that exchanges reports with peers.
namespace reedramp::routing {

namespace {

/// An entry that has been silent for this time has ended, or is not waited for.
constexpr common::duration peer_silence = std::chrono::seconds{2};

/// Peers that have not reported for this time are forgotten.
constexpr common::duration forgotten_after = std::chrono::minutes{1};

/// A peer's order is newer than this entry's if it started later by this. Start times are derived
/// from messages, and differ by the time that those take.
constexpr common::duration order_distance = std::chrono::milliseconds{500};

/// Maximum number of sessions in one message (16 bytes each): a tenth of what an entry serves in
/// session_time at 150 requests per second. Sessions beyond it may change their version at another
/// entry.
constexpr std::size_t max_reported_sessions = 96;

/// Maximum number of roll-outs in one message, some 0.4 KB each: more than are under way at once.
/// Those of further services are reported in turn.
constexpr std::size_t max_reported_rollouts = 12;

/// Maximum number of routes in one message whose evidence it holds, some 0.2 KB each, over all
/// roll-outs.
constexpr std::size_t max_reported_routes = 12;

/// The same of one of so many roll-outs.
auto reported_routes(std::size_t running) -> std::size_t
{
    constexpr std::size_t least = 3;
    return std::max(least, max_reported_routes / std::max<std::size_t>(running, 1));
}

auto order_of(const rollout_report& report) -> rollout_order
{
    return {report.service, report.target, report.allowed, report.ordered_at};
}

} // namespace

auto rollout_manager::apply_reports(
    const common::host_id& peer, const std::vector<rollout_report>& reports, time_point now) -> void
{
    this->known_since = this->known_since.value_or(now);
    this->peers_last_heard[peer] = now;
    std::erase_if(this->peers_last_heard, [now](const auto& item) {
        return now - item.second > forgotten_after;
    });
    for (const auto& report : reports) {
        auto found = this->rollouts.find(report.service);
        if (found == this->rollouts.end()) {
            // This entry can't read the store, but the peer has read an order there.
            this->apply_order(order_of(report), now);
            found = this->rollouts.find(report.service);
        }
        if (found == this->rollouts.end()) {
            continue;
        }
        if (found->second.order.target != report.target) {
            this->apply_other_order(found->second, report, now);
            continue;
        }
        if (report.ordered_at > found->second.order.at) {
            // The same again: judged as if this entry had read it.
            this->apply_order(order_of(report), now);
        }
        auto& one = this->rollouts.at(report.service);
        // An entry that started later, or learned of the order later, adopts the earlier start.
        one.began = std::min(one.began, now - report.elapsed);
        one.peers[peer] = {now, report.left_on_old, std::max(report.rate, 0.0)};
        // Applied before the share: a peer with a larger first share has not allowed sessions to
        // move yet.
        one.first_share =
            std::max(one.first_share, std::min(report.first_share, this->settings.max_first_share));
        one.evidence.apply_report(peer, report.evidence, report.total_evidence);
        one.reached_share = std::max(one.reached_share, std::min(report.share, 1.0));
        one.reached_load_test_share =
            std::max(one.reached_load_test_share, std::min(report.load_test_share, 1.0));
        this->sessions.apply_reports(report.service, report.old_sessions, now);
        const bool is_of_earlier_order = one.is_given_again && report.ordered_at < one.order.at;
        if (report.is_written && !is_of_earlier_order) {
            this->apply_status({report.service, report.target, report.state});
        }
    }
}

auto rollout_manager::is_corrected_by(const rollout& ours, const rollout_report& report) -> bool
{
    return ours.is_guess && report.ordered_at < ours.order.at && report.judged_to >= ours.order.at;
}

auto rollout_manager::apply_other_order(
    const rollout& ours, const rollout_report& report, time_point now) -> void
{
    const auto began = now - report.elapsed;
    if (is_corrected_by(ours, report)) {
        const auto guessed = ours.order;
        this->begin(order_of(report), began, false);
        this->hold(guessed, now, hold_reason::repeats_past);
        if (report.is_written) {
            this->apply_status({report.service, report.target, report.state});
        }
    }
    else if (
        report.is_written && report.state == rollout_state::complete &&
        report.ordered_at > ours.order.at) {
        // Published, whatever was held here: the servers of all other versions stop now.
        this->begin(order_of(report), began, false);
        this->rollouts.at(report.service).awaits_own_state = false;
        this->apply_status({report.service, report.target, report.state});
    }
    else if (report.state == rollout_state::running && began > ours.began + order_distance) {
        this->apply_order(order_of(report), began);
    }
    else if (report.is_written && ours.state == rollout_state::running && began < ours.began) {
        // The outcome of the previous roll-out, which this entry may not have read before the next
        // order.
        this->note_end(report.service, report.target, report.state);
    }
}

auto rollout_manager::services_to_report() const -> std::vector<common::service_name>
{
    std::vector<common::service_name> under_way;
    std::vector<common::service_name> over;
    auto next = this->rollouts.upper_bound(this->last_reported);
    for (std::size_t i = 0; i < this->rollouts.size(); ++i) {
        next = next == this->rollouts.end() ? this->rollouts.begin() : next;
        (is_over(next->second) ? over : under_way).push_back(next->first);
        ++next;
    }
    under_way.insert(under_way.end(), over.begin(), over.end());
    under_way.resize(std::min(under_way.size(), max_reported_rollouts));
    return under_way;
}

auto rollout_manager::begin_report_round() -> void
{
    const auto chosen = this->services_to_report();
    const auto running = this->running_count();
    for (const auto& service : chosen) {
        auto& one = this->rollouts.at(service);
        one.reported_to = one.evidence.next_turn(reported_routes(running), one.reported_to);
    }
    if (this->rollouts.size() > max_reported_rollouts) {
        this->last_reported = chosen.back();
    }
}

auto rollout_manager::running_count() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->rollouts, [](const auto& item) { return !is_over(item.second); }));
}

auto rollout_manager::make_reports(time_point now) const -> std::vector<rollout_report>
{
    const auto running = this->running_count();
    std::vector<rollout_report> all;
    for (const auto& service : this->services_to_report()) {
        all.push_back(this->make_report(this->rollouts.at(service), running, now));
    }
    return all;
}

auto rollout_manager::make_report(const rollout& one, std::size_t running, time_point now) const
    -> rollout_report
{
    const auto& service = one.order.service;
    const auto rate = this->rates.find(service);
    rollout_report report;
    report.service = service;
    report.target = one.order.target;
    report.allowed = one.order.allowed;
    report.elapsed = this->elapsed(one, now);
    report.left_on_old = this->own_left_on_old(one, now);
    report.share = this->share_of(one, now);
    report.load_test_share = one.reached_load_test_share;
    report.first_share = one.first_share;
    report.rate = rate == this->rates.end() ? 0.0 : rate->second.per_second(now);
    report.state = one.state;
    report.is_written = one.written == one.state;
    report.ordered_at = one.order.at;
    report.judged_to = this->histories.at(service).orders.judged_to();
    if (is_over(one)) {
        return report; // The evidence no longer matters.
    }
    report.old_sessions = this->sessions_to_report(
        one, std::max<std::size_t>(max_reported_sessions / running, 1), now);
    report.evidence = one.evidence.make_report(reported_routes(running), one.reported_to);
    report.total_evidence = one.evidence.total();
    return report;
}

auto rollout_manager::sessions_to_report(
    const rollout& one, std::size_t max_count, time_point now) const -> std::vector<session_report>
{
    if (one.state != rollout_state::running || this->may_move(one, now)) {
        return {};
    }
    const auto& order = one.order;
    return this->sessions.on_other_versions(
        order.service,
        order.target,
        [first_share = this->first_share_at_most(one)](std::uint64_t session) {
            return is_in_share(session, first_share);
        },
        max_count,
        now);
}

auto rollout_manager::is_isolated(time_point now) const -> bool
{
    const auto is_heard = [now](const auto& item) {
        return now - item.second <= peer_silence;
    };
    return !this->peers_last_heard.empty() &&
           std::ranges::none_of(this->peers_last_heard, is_heard);
}

auto rollout_manager::left_on_old(const rollout& one, time_point now) const -> unsigned
{
    auto count = this->own_left_on_old(one, now);
    for (const auto& [peer, reports] : one.peers) {
        count += now - reports.last_heard < peer_silence ? reports.left_on_old : 0;
    }
    return count;
}

auto rollout_manager::in_flight_of(
    const common::service_name& service, const common::version_id& version) const
    -> version_in_flight
{
    version_in_flight counts;
    for (const auto& [key, requests] : this->in_flight) {
        if (key.first == service) {
            (key.second == version ? counts.on_version : counts.on_others) += requests;
        }
    }
    return counts;
}

auto rollout_manager::own_left_on_old(const rollout& one, time_point now) const -> unsigned
{
    const auto& order = one.order;
    const auto sessions_left = static_cast<unsigned>(
        this->sessions.count_on_other_versions(order.service, order.target, now));
    return sessions_left + this->in_flight_of(order.service, order.target).on_others;
}

} // namespace reedramp::routing
