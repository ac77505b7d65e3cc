#include "router/peer_report.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

#include <boost/asio/ip/address_v4.hpp>
#include <capnp/message.h>

#include "http/message.hpp"
#include "placement/affinity.hpp"
#include "router/generated/peers.capnp.h"
#include "router/message_bytes.hpp"
#include "router/rollout_codec.hpp"

namespace reedramp::router {

using routing::stream_position;

namespace {

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
