#include "router/peer_report.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <span>

#include <boost/asio/ip/address_v4.hpp>
#include <capnp/message.h>

#include "http/message.hpp"
#include "placement/affinity.hpp"
#include "router/generated/peers.capnp.h"
#include "router/message_bytes.hpp"

namespace reedramp::router {

using routing::stream_position;

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

constexpr unsigned port_bits = 16;

/// Packs an IPv4 address and port into one number. Returns nothing for any other address.
auto pack_ipv4(const std::string& address) -> std::optional<std::uint64_t>
{
    const auto where = http::parse_endpoint(address);
    if (!where) {
        return std::nullopt;
    }
    boost::system::error_code other;
    const auto host = boost::asio::ip::make_address_v4(where->address, other);
    if (other) {
        return std::nullopt;
    }
    return (std::uint64_t{host.to_uint()} << port_bits) | where->port;
}

auto unpack_ipv4(std::uint64_t number) -> std::string
{
    const boost::asio::ip::address_v4 host{static_cast<std::uint32_t>(number >> port_bits)};
    return http::to_string(http::endpoint{host.to_string(), static_cast<std::uint16_t>(number)});
}

auto fill_peers(schema::Words::Builder to, const std::vector<std::string>& from) -> void
{
    std::vector<std::uint64_t> numbers;
    std::vector<std::string> texts;
    for (const auto& address : from) {
        if (const auto number = pack_ipv4(address)) {
            numbers.push_back(*number);
        }
        else {
            texts.push_back(address);
        }
    }
    auto as_numbers = to.initPeersIpv4(static_cast<unsigned>(numbers.size()));
    for (unsigned i = 0; i < numbers.size(); ++i) {
        as_numbers.set(i, numbers[i]);
    }
    auto as_texts = to.initPeers(static_cast<unsigned>(texts.size()));
    for (unsigned i = 0; i < texts.size(); ++i) {
        as_texts.set(i, texts[i]);
    }
}

/// Value in a message for a server without a limit.
constexpr float no_limit = -1.0F;

auto fill_limits(schema::Words::Builder to, const std::vector<routing::limit_report>& from) -> void
{
    auto limits = to.initLimits(static_cast<unsigned>(from.size()));
    for (unsigned i = 0; i < from.size(); ++i) {
        const auto& one = from[i];
        limits[i].setServer(one.server);
        limits[i].setPerSecond(one.per_second ? static_cast<float>(*one.per_second) : no_limit);
        limits[i].setAgeMs(milliseconds_field(one.age));
    }
}

auto read_limits(schema::Words::Reader from) -> std::vector<routing::limit_report>
{
    std::vector<routing::limit_report> limits;
    for (const auto one : from.getLimits()) {
        const double per_second = one.getPerSecond();
        if (std::isfinite(per_second)) {
            limits.push_back(
                {one.getServer(),
                 per_second < 0.0 ? std::nullopt : std::optional{per_second},
                 std::chrono::milliseconds{one.getAgeMs()}});
        }
    }
    return limits;
}

auto fill_overload(schema::Words::Builder to, const peer_report& from) -> void
{
    if (from.slowdowns.empty() && from.speeds.empty() && from.usage.empty()) {
        return;
    }
    auto all = to.initOverload();
    auto slowdowns = all.initSlowdowns(static_cast<unsigned>(from.slowdowns.size()));
    for (unsigned i = 0; i < from.slowdowns.size(); ++i) {
        constexpr std::uint32_t max_age = std::numeric_limits<std::uint16_t>::max();
        slowdowns[i].setServer(from.slowdowns[i].server);
        slowdowns[i].setFactor(static_cast<float>(from.slowdowns[i].factor));
        slowdowns[i].setAgeMs(static_cast<std::uint16_t>(
            std::min(milliseconds_field(from.slowdowns[i].age), max_age)));
    }
    auto speeds = all.initSpeeds(static_cast<unsigned>(from.speeds.size()));
    for (unsigned i = 0; i < from.speeds.size(); ++i) {
        speeds[i].setServer(from.speeds[i].server);
        speeds[i].setSlowness(static_cast<float>(from.speeds[i].slowness));
        speeds[i].setSamples(from.speeds[i].samples);
    }
    auto usage = all.initUsage(static_cast<unsigned>(from.usage.size()));
    for (unsigned i = 0; i < from.usage.size(); ++i) {
        usage[i].setOrganisation(from.usage[i].key);
        usage[i].setRate(static_cast<float>(from.usage[i].rate));
    }
}

/// Values that are not finite, or not possible, are left out.
auto read_overload(schema::OverloadReport::Reader from, peer_report& to) -> void
{
    for (const auto one : from.getSlowdowns()) {
        const double factor = one.getFactor();
        if (std::isfinite(factor) && factor > 0.0) {
            to.slowdowns.push_back(
                {one.getServer(), factor, std::chrono::milliseconds{one.getAgeMs()}});
        }
    }
    for (const auto one : from.getSpeeds()) {
        const double slowness = one.getSlowness();
        if (std::isfinite(slowness) && slowness > 0.0) {
            to.speeds.push_back({one.getServer(), slowness, one.getSamples()});
        }
    }
    for (const auto one : from.getUsage()) {
        const double rate = one.getRate();
        if (std::isfinite(rate) && rate >= 0.0) {
            to.usage.push_back({one.getOrganisation(), rate});
        }
    }
}

/// A number that the message can't hold counts as unknown; servers reach it after a century.
auto sequence_field(std::uint64_t sequence) -> std::uint32_t
{
    const bool fits = sequence <= std::numeric_limits<std::uint32_t>::max();
    return fits ? static_cast<std::uint32_t>(sequence) : 0;
}

auto read_report(schema::Words::Reader from) -> peer_report
{
    peer_report report;
    report.host = common::host_id{text_of(from.getHost())};
    report.process = from.getProcess();
    report.address = text_of(from.getAddress());
    report.data_centre = from.getDataCentre();
    report.rules_version = from.getRulesVersion();
    for (const auto load : from.getLoads()) {
        const bool is_valid = std::isfinite(load.getRequests()) && std::isfinite(load.getWork()) &&
                              std::isfinite(load.getReading()) && std::isfinite(load.getMemory());
        // A value that is not finite would corrupt every sum.
        if (is_valid) {
            report.loads.push_back(
                {load.getServer(),
                 {load.getRequests(), load.getWork(), load.getReading(), load.getMemory()}});
        }
    }
    report.freshness = {
        from.getListChanged(),
        std::chrono::milliseconds{from.getListAgeMs()},
        std::chrono::milliseconds{from.getStoreSteadyMs()},
        from.getListReader(),
        from.getListReading()};
    report.rules_freshness = {
        from.getRulesKnownTo(),
        std::chrono::milliseconds{from.getRulesAgeMs()},
        {},
        from.getRulesReader(),
        from.getRulesReading()};
    for (const auto outcomes : from.getOutcomes()) {
        const double good = outcomes.getGood();
        const double bad = outcomes.getBad();
        if (std::isfinite(good) && std::isfinite(bad)) {
            report.outcomes.push_back({outcomes.getServer(), good, bad});
        }
    }
    for (const auto rollout : from.getRollouts()) {
        report.rollouts.push_back(read_rollout(rollout));
    }
    for (const auto number : from.getPeersIpv4()) {
        report.peers.push_back(unpack_ipv4(number));
    }
    for (const auto peer : from.getPeers()) {
        report.peers.push_back(text_of(peer));
    }
    for (const auto server : from.getLeaving()) {
        report.leaving.push_back(server);
    }
    for (const auto end : from.getEnded()) {
        report.ended.push_back(
            {end.getServer(), end.getReadTo(), {end.getLastSequence(), end.getHasLeft()}});
    }
    report.evacuations.known_to = stream_position{from.getOrdersKnownTo()};
    for (const auto data_centre : from.getEvacuated()) {
        report.evacuations.evacuated.emplace_back(text_of(data_centre));
    }
    report.limits = read_limits(from);
    if (from.hasOverload()) {
        read_overload(from.getOverload(), report);
    }
    if (from.getEndsInMs() > 0) {
        report.ends_in = std::chrono::milliseconds{from.getEndsInMs()};
    }
    return report;
}

} // namespace

auto data_centre_hash(const common::data_centre_id& data_centre) -> std::uint32_t
{
    return static_cast<std::uint32_t>(placement::affinity_hash(data_centre.value()));
}

auto encode(const peer_report& report) -> std::string
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::Words>();
    root.setHost(report.host.value());
    root.setProcess(report.process);
    root.setAddress(report.address);
    root.setDataCentre(report.data_centre);
    root.setRulesVersion(report.rules_version);
    auto loads = root.initLoads(static_cast<unsigned>(report.loads.size()));
    for (unsigned i = 0; i < report.loads.size(); ++i) {
        loads[i].setServer(report.loads[i].server);
        loads[i].setRequests(static_cast<float>(report.loads[i].load.requests));
        loads[i].setWork(static_cast<float>(report.loads[i].load.work));
        loads[i].setReading(static_cast<float>(report.loads[i].load.reading));
        loads[i].setMemory(static_cast<float>(report.loads[i].load.memory));
    }
    root.setListChanged(report.freshness.changed);
    root.setListAgeMs(milliseconds_field(report.freshness.age));
    root.setStoreSteadyMs(milliseconds_field(report.freshness.steady));
    root.setListReader(report.freshness.reader);
    root.setListReading(report.freshness.number);
    root.setRulesKnownTo(report.rules_freshness.changed);
    root.setRulesAgeMs(milliseconds_field(report.rules_freshness.age));
    root.setRulesReader(report.rules_freshness.reader);
    root.setRulesReading(report.rules_freshness.number);
    auto outcomes = root.initOutcomes(static_cast<unsigned>(report.outcomes.size()));
    for (unsigned i = 0; i < report.outcomes.size(); ++i) {
        outcomes[i].setServer(report.outcomes[i].server);
        outcomes[i].setGood(static_cast<float>(report.outcomes[i].good));
        outcomes[i].setBad(static_cast<float>(report.outcomes[i].bad));
    }
    auto rollouts = root.initRollouts(static_cast<unsigned>(report.rollouts.size()));
    for (unsigned i = 0; i < report.rollouts.size(); ++i) {
        fill(rollouts[i], report.rollouts[i]);
    }
    fill_peers(root, report.peers);
    auto leaving = root.initLeaving(static_cast<unsigned>(report.leaving.size()));
    for (unsigned i = 0; i < report.leaving.size(); ++i) {
        leaving.set(i, report.leaving[i]);
    }
    auto ended = root.initEnded(static_cast<unsigned>(report.ended.size()));
    for (unsigned i = 0; i < report.ended.size(); ++i) {
        ended[i].setServer(report.ended[i].server);
        ended[i].setReadTo(report.ended[i].read_to);
        ended[i].setLastSequence(sequence_field(report.ended[i].end.last_sequence));
        ended[i].setHasLeft(report.ended[i].end.has_left);
    }
    root.setOrdersKnownTo(report.evacuations.known_to.value());
    auto evacuated = root.initEvacuated(static_cast<unsigned>(report.evacuations.evacuated.size()));
    for (unsigned i = 0; i < report.evacuations.evacuated.size(); ++i) {
        evacuated.set(i, report.evacuations.evacuated[i].value());
    }
    fill_limits(root, report.limits);
    fill_overload(root, report);
    if (report.ends_in) {
        // At least 1, since 0 means that the sender stays.
        const auto left = std::max<std::int64_t>(report.ends_in->count(), 1);
        root.setEndsInMs(static_cast<std::uint32_t>(left));
    }
    return serialise_flat(message);
}

auto decode_peer_report(std::string_view bytes) -> common::result<peer_report>
{
    peer_report report;
    const bool is_read = read_flat<schema::Words>(
        bytes, datagram_traversal_limit, [&report](schema::Words::Reader root) {
            report = read_report(root);
        });
    if (!is_read) {
        return common::failure(common::result_code::malformed_request, "no message of a peer");
    }
    return report;
}

} // namespace reedramp::router
