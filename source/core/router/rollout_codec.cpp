#include "router/rollout_codec.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>

#include "router/message_bytes.hpp"

namespace reedramp::router {

namespace {

/// Means are sent as pairs of mean and count: first those of the signals, then those of the timed
/// parts.
constexpr unsigned values_per_mean = 2;
constexpr unsigned mean_field_count =
    values_per_mean * static_cast<unsigned>(policy::signal_count + routing::timed_part_count);

auto fill_mean_fields(capnp::List<float>::Builder to, const routing::evidence_report& from) -> void
{
    unsigned at = 0;
    const auto add = [&to, &at](const policy::sample_mean& mean) {
        to.set(at++, static_cast<float>(mean.value));
        to.set(at++, static_cast<float>(mean.count));
    };
    std::ranges::for_each(from.old_means, add);
    std::ranges::for_each(from.baseline_times, add);
}

auto read_mean_fields(capnp::List<float>::Reader from, routing::evidence_report& to) -> void
{
    unsigned at = 0;
    const auto next = [&from, &at](policy::sample_mean& mean) {
        const double value = from[at++];
        const double count = from[at++];
        // A value that is not finite would corrupt every sum.
        const bool is_valid = std::isfinite(value) && std::isfinite(count) && count >= 0.0;
        mean = is_valid ? policy::sample_mean{value, count} : policy::sample_mean{};
    };
    std::ranges::for_each(to.old_means, next);
    std::ranges::for_each(to.baseline_times, next);
}

/// Only failures are counted by occupancy, so the bets on other signals are not sent.
constexpr unsigned high_occupancy_field_count =
    static_cast<unsigned>(policy::bet_fractions.size()) + values_per_mean;

auto fill_high_occupancy(schema::RouteEvidence::Builder to, const routing::evidence_report& from)
    -> void
{
    if (from.high_occupancy_bets.size() != policy::wealth_size) {
        return;
    }
    auto fields = to.initHighOccupancyFailures(high_occupancy_field_count);
    unsigned at = 0;
    for (const double log : policy::bets_on(
             std::span<const double>(from.high_occupancy_bets), policy::signal::error)) {
        fields.set(at++, static_cast<float>(log));
    }
    fields.set(at++, static_cast<float>(from.high_occupancy_old_failures.value));
    fields.set(at, static_cast<float>(from.high_occupancy_old_failures.count));
}

auto read_high_occupancy(schema::RouteEvidence::Reader from, routing::evidence_report& to) -> void
{
    const auto fields = from.getHighOccupancyFailures();
    // A peer of another release does not send them.
    if (fields.size() != high_occupancy_field_count) {
        return;
    }
    unsigned at = 0;
    const auto next = [&fields, &at]() -> double {
        const double value = fields[at++];
        return std::isfinite(value) ? value : 0.0;
    };
    to.high_occupancy_bets.assign(policy::wealth_size, 0.0);
    for (double& log :
         policy::bets_on(std::span<double>(to.high_occupancy_bets), policy::signal::error)) {
        log = next();
    }
    const double value = next();
    to.high_occupancy_old_failures = {value, std::max(next(), 0.0)};
}

auto fill(schema::TotalEvidence::Builder to, const routing::evidence_total& from) -> void
{
    auto logs = to.initWealth(static_cast<unsigned>(from.bets.size()));
    for (unsigned i = 0; i < from.bets.size(); ++i) {
        logs.set(i, static_cast<float>(from.bets[i]));
    }
    if (from.high_occupancy_bets.size() != policy::wealth_size) {
        return;
    }
    const auto failures =
        policy::bets_on(std::span<const double>(from.high_occupancy_bets), policy::signal::error);
    auto fields = to.initHighOccupancyFailures(static_cast<unsigned>(failures.size()));
    for (unsigned i = 0; i < failures.size(); ++i) {
        fields.set(i, static_cast<float>(failures[i]));
    }
}

/// Nothing if it comes from a release with other bets.
auto read_total_evidence(schema::TotalEvidence::Reader from)
    -> std::optional<routing::evidence_total>
{
    const auto valid = [](double log) {
        return std::isfinite(log) ? log : 0.0;
    };
    routing::evidence_total total;
    for (const double log : from.getWealth()) {
        total.bets.push_back(valid(log));
    }
    if (total.bets.size() != policy::wealth_size) {
        return std::nullopt;
    }
    total.high_occupancy_bets.assign(policy::wealth_size, 0.0);
    const auto failures =
        policy::bets_on(std::span<double>(total.high_occupancy_bets), policy::signal::error);
    const auto fields = from.getHighOccupancyFailures();
    for (unsigned i = 0; i < std::min<std::size_t>(failures.size(), fields.size()); ++i) {
        failures[i] = valid(fields[i]);
    }
    return total;
}

auto read_evidence(schema::RouteEvidence::Reader from) -> std::optional<routing::evidence_report>
{
    routing::evidence_report report;
    for (const double log : from.getWealth()) {
        report.bets.push_back(std::isfinite(log) ? log : 0.0);
    }
    // Evidence is summed block by block, which needs equal sizes. A different size comes from a
    // peer of another release.
    if (report.bets.size() != policy::wealth_size ||
        from.getOldMeans().size() != mean_field_count) {
        return std::nullopt;
    }
    read_mean_fields(from.getOldMeans(), report);
    read_high_occupancy(from, report);
    return report;
}

/// Converts a state from its number in the message. A number unknown to this release counts as a
/// running roll-out.
auto to_rollout_state(std::uint8_t number) -> routing::rollout_state
{
    const auto state = static_cast<routing::rollout_state>(number);
    const bool is_known =
        state == routing::rollout_state::complete || state == routing::rollout_state::reverted;
    return is_known ? state : routing::rollout_state::running;
}

auto valid_share(double share) -> double
{
    return std::isfinite(share) ? std::clamp(share, 0.0, 1.0) : 0.0;
}

} // namespace

auto fill(schema::Rollout::Builder to, const routing::rollout_report& from) -> void
{
    to.setService(from.service.value());
    to.setTarget(from.target.value());
    to.setAllowedMs(from.allowed.count());
    to.setElapsedMs(from.elapsed.count());
    to.setLeftOnOld(from.left_on_old);
    auto all = to.initEvidence(static_cast<unsigned>(from.evidence.size()));
    unsigned at = 0;
    for (const auto& [route, report] : from.evidence) {
        auto one = all[at++];
        one.setRoute(route.value());
        auto logs = one.initWealth(static_cast<unsigned>(report.bets.size()));
        for (unsigned i = 0; i < report.bets.size(); ++i) {
            logs.set(i, static_cast<float>(report.bets[i]));
        }
        fill_mean_fields(one.initOldMeans(mean_field_count), report);
        fill_high_occupancy(one, report);
    }
    if (from.total_evidence) {
        fill(to.initTotalEvidence(), *from.total_evidence);
    }
    to.setShare(from.share);
    to.setLoadTestShare(from.load_test_share);
    to.setFirstShare(from.first_share);
    to.setRate(static_cast<float>(from.rate));
    to.setState(static_cast<std::uint8_t>(from.state));
    to.setIsWritten(from.is_written);
    to.setOrderedAt(from.ordered_at.value());
    to.setJudgedTo(from.judged_to.value());
    auto sessions = to.initOldSessions(static_cast<unsigned>(from.old_sessions.size()));
    for (unsigned i = 0; i < from.old_sessions.size(); ++i) {
        sessions[i].setSession(from.old_sessions[i].session);
        sessions[i].setLeftMs(static_cast<std::uint32_t>(from.old_sessions[i].left.count()));
    }
}

auto read_rollout(schema::Rollout::Reader from) -> routing::rollout_report
{
    routing::rollout_report report;
    report.service = common::service_name{text_of(from.getService())};
    report.target = common::version_id{text_of(from.getTarget())};
    report.allowed = std::chrono::milliseconds{from.getAllowedMs()};
    report.elapsed = std::chrono::milliseconds{from.getElapsedMs()};
    report.left_on_old = from.getLeftOnOld();
    report.state = to_rollout_state(from.getState());
    report.is_written = from.getIsWritten();
    report.ordered_at = routing::stream_position{from.getOrderedAt()};
    report.judged_to = routing::stream_position{from.getJudgedTo()};
    report.share = valid_share(from.getShare());
    report.load_test_share = valid_share(from.getLoadTestShare());
    report.first_share = valid_share(from.getFirstShare());
    const double rate = from.getRate();
    report.rate = std::isfinite(rate) ? std::max(rate, 0.0) : 0.0;
    for (const auto one : from.getEvidence()) {
        if (auto evidence = read_evidence(one)) {
            report.evidence[routing::route_name{text_of(one.getRoute())}] = std::move(*evidence);
        }
    }
    if (from.hasTotalEvidence()) {
        report.total_evidence = read_total_evidence(from.getTotalEvidence());
    }
    for (const auto one : from.getOldSessions()) {
        report.old_sessions.push_back(
            {one.getSession(), std::chrono::milliseconds{one.getLeftMs()}});
    }
    return report;
}

} // namespace reedramp::router
