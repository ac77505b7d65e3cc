#include "router/peer_message.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

#include <boost/asio/ip/address_v4.hpp>
#include <capnp/message.h>

#include "http/message.hpp"
#include "placement/affinity.hpp"
#include "router/generated/peers.capnp.h"
#include "router/message_bytes.hpp"

namespace reedramp::router {

using routing::stream_position;

namespace {

/// Pairs of mean and count, signals before timed parts.
constexpr unsigned pair_size = 2;
constexpr unsigned told_means =
    pair_size * static_cast<unsigned>(policy::signal_count + routing::timed_part_count);

auto fill_means(capnp::List<float>::Builder to, const routing::evidence_report& from) -> void
{
    unsigned at = 0;
    const auto add = [&to, &at](const policy::sample_mean& mean) {
        to.set(at++, static_cast<float>(mean.value));
        to.set(at++, static_cast<float>(mean.count));
    };
    std::ranges::for_each(from.old_means, add);
    std::ranges::for_each(from.baseline_times, add);
}

auto read_means(capnp::List<float>::Reader from, routing::evidence_report& to) -> void
{
    unsigned at = 0;
    const auto next = [&from, &at](policy::sample_mean& mean) {
        const double value = from[at++];
        const double count = from[at++];
        // What is no number would stay in every sum.
        const bool is_sound = std::isfinite(value) && std::isfinite(count) && count >= 0.0;
        mean = is_sound ? policy::sample_mean{value, count} : policy::sample_mean{};
    };
    std::ranges::for_each(to.old_means, next);
    std::ranges::for_each(to.baseline_times, next);
}

auto read_evidence(schema::RouteEvidence::Reader from) -> std::optional<routing::evidence_report>
{
    routing::evidence_report told;
    for (const double log : from.getWealth()) {
        told.bets.push_back(std::isfinite(log) ? log : 0.0);
    }
    // Sums need blocks of one size; another one comes from a peer of another release.
    if (told.bets.size() != policy::wealth_size || from.getOldMeans().size() != told_means) {
        return std::nullopt;
    }
    read_means(from.getOldMeans(), told);
    return told;
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
    for (const auto& [route, told] : from.evidence) {
        auto one = all[at++];
        one.setRoute(route.value());
        auto logs = one.initWealth(static_cast<unsigned>(told.bets.size()));
        for (unsigned i = 0; i < told.bets.size(); ++i) {
            logs.set(i, static_cast<float>(told.bets[i]));
        }
        fill_means(one.initOldMeans(told_means), told);
    }
    to.setShare(from.share);
    to.setFirstShare(from.first_share);
    to.setRate(static_cast<float>(from.rate));
    to.setState(static_cast<std::uint8_t>(from.state));
    to.setIsWritten(from.is_written);
    auto sessions = to.initOldSessions(static_cast<unsigned>(from.old_sessions.size()));
    for (unsigned i = 0; i < from.old_sessions.size(); ++i) {
        sessions[i].setSession(from.old_sessions[i].session);
        sessions[i].setLeftMs(static_cast<std::uint32_t>(from.old_sessions[i].left.count()));
    }
}

/// A number that this release does not know is taken for a roll-out that goes on.
auto state_of(std::uint8_t number) -> routing::rollout_state
{
    const auto state = static_cast<routing::rollout_state>(number);
    const bool is_known =
        state == routing::rollout_state::complete || state == routing::rollout_state::reverted;
    return is_known ? state : routing::rollout_state::running;
}

auto read_rollout(schema::Rollout::Reader from) -> routing::rollout_report
{
    routing::rollout_report told;
    told.service = common::service_name{text_of(from.getService())};
    told.target = common::version_id{text_of(from.getTarget())};
    told.allowed = std::chrono::milliseconds{from.getAllowedMs()};
    told.elapsed = std::chrono::milliseconds{from.getElapsedMs()};
    told.left_on_old = from.getLeftOnOld();
    told.state = state_of(from.getState());
    told.is_written = from.getIsWritten();
    const double share = from.getShare();
    told.share = std::isfinite(share) ? std::clamp(share, 0.0, 1.0) : 0.0;
    const double first_share = from.getFirstShare();
    told.first_share = std::isfinite(first_share) ? std::clamp(first_share, 0.0, 1.0) : 0.0;
    const double rate = from.getRate();
    told.rate = std::isfinite(rate) ? std::max(rate, 0.0) : 0.0;
    for (const auto one : from.getEvidence()) {
        if (auto evidence = read_evidence(one)) {
            told.evidence[routing::route_name{text_of(one.getRoute())}] = std::move(*evidence);
        }
    }
    for (const auto one : from.getOldSessions()) {
        told.old_sessions.push_back({one.getSession(), std::chrono::milliseconds{one.getLeftMs()}});
    }
    return told;
}

constexpr unsigned port_bits = 16;

/// None for an address that is not of IPv4.
auto number_of(const std::string& address) -> std::optional<std::uint64_t>
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

auto address_of(std::uint64_t number) -> std::string
{
    const boost::asio::ip::address_v4 host{static_cast<std::uint32_t>(number >> port_bits)};
    return http::to_string(http::endpoint{host.to_string(), static_cast<std::uint16_t>(number)});
}

auto fill_peers(schema::Words::Builder to, const std::vector<std::string>& from) -> void
{
    std::vector<std::uint64_t> numbers;
    std::vector<std::string> texts;
    for (const auto& address : from) {
        if (const auto number = number_of(address)) {
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

/// Stands for a server that takes any number of requests.
constexpr float no_limit = -1.0F;

auto fill_limits(schema::Words::Builder to, const std::vector<routing::limit_report>& from) -> void
{
    auto limits = to.initLimits(static_cast<unsigned>(from.size()));
    for (unsigned i = 0; i < from.size(); ++i) {
        const auto& one = from[i];
        limits[i].setServer(one.server);
        limits[i].setPerSecond(one.per_second ? static_cast<float>(*one.per_second) : no_limit);
        limits[i].setAgeMs(told_ms(one.age));
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

auto read_words(schema::Words::Reader from) -> peer_report
{
    peer_report words;
    words.host = common::host_id{text_of(from.getHost())};
    words.process = from.getProcess();
    words.address = text_of(from.getAddress());
    words.place = from.getDataCentre();
    words.rules_version = from.getRulesVersion();
    for (const auto load : from.getLoads()) {
        const bool is_sound = std::isfinite(load.getRequests()) && std::isfinite(load.getWork()) &&
                              std::isfinite(load.getReading());
        // What is no number would stay in every sum.
        if (is_sound) {
            words.loads.push_back(
                {load.getServer(), {load.getRequests(), load.getWork(), load.getReading()}});
        }
    }
    words.freshness = {
        from.getListChanged(),
        std::chrono::milliseconds{from.getListAgeMs()},
        std::chrono::milliseconds{from.getStoreSteadyMs()},
        from.getListReader(),
        from.getListReading()};
    for (const auto outcomes : from.getOutcomes()) {
        const double good = outcomes.getGood();
        const double bad = outcomes.getBad();
        if (std::isfinite(good) && std::isfinite(bad)) {
            words.outcomes.push_back({outcomes.getServer(), good, bad});
        }
    }
    for (const auto rollout : from.getRollouts()) {
        words.rollouts.push_back(read_rollout(rollout));
    }
    for (const auto number : from.getPeersIpv4()) {
        words.peers.push_back(address_of(number));
    }
    for (const auto peer : from.getPeers()) {
        words.peers.push_back(text_of(peer));
    }
    for (const auto server : from.getLeaving()) {
        words.leaving.push_back(server);
    }
    for (const auto end : from.getEnded()) {
        words.ended.push_back({end.getServer(), end.getReadTo()});
    }
    words.evacuations.known_to = stream_position{from.getOrdersKnownTo()};
    for (const auto data_centre : from.getEvacuated()) {
        words.evacuations.evacuated.emplace_back(text_of(data_centre));
    }
    words.limits = read_limits(from);
    if (from.getEndsInMs() > 0) {
        words.ends_in = std::chrono::milliseconds{from.getEndsInMs()};
    }
    return words;
}

} // namespace

auto data_centre_hash(const common::data_centre_id& data_centre) -> std::uint32_t
{
    return static_cast<std::uint32_t>(placement::affinity_hash(data_centre.value()));
}

auto encode(const peer_report& words) -> std::string
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::Words>();
    root.setHost(words.host.value());
    root.setProcess(words.process);
    root.setAddress(words.address);
    root.setDataCentre(words.place);
    root.setRulesVersion(words.rules_version);
    auto loads = root.initLoads(static_cast<unsigned>(words.loads.size()));
    for (unsigned i = 0; i < words.loads.size(); ++i) {
        loads[i].setServer(words.loads[i].server);
        loads[i].setRequests(static_cast<float>(words.loads[i].load.requests));
        loads[i].setWork(static_cast<float>(words.loads[i].load.work));
        loads[i].setReading(static_cast<float>(words.loads[i].load.reading));
    }
    root.setListChanged(words.freshness.changed);
    root.setListAgeMs(told_ms(words.freshness.age));
    root.setStoreSteadyMs(told_ms(words.freshness.steady));
    root.setListReader(words.freshness.reader);
    root.setListReading(words.freshness.number);
    auto outcomes = root.initOutcomes(static_cast<unsigned>(words.outcomes.size()));
    for (unsigned i = 0; i < words.outcomes.size(); ++i) {
        outcomes[i].setServer(words.outcomes[i].server);
        outcomes[i].setGood(static_cast<float>(words.outcomes[i].good));
        outcomes[i].setBad(static_cast<float>(words.outcomes[i].bad));
    }
    auto rollouts = root.initRollouts(static_cast<unsigned>(words.rollouts.size()));
    for (unsigned i = 0; i < words.rollouts.size(); ++i) {
        fill(rollouts[i], words.rollouts[i]);
    }
    fill_peers(root, words.peers);
    auto leaving = root.initLeaving(static_cast<unsigned>(words.leaving.size()));
    for (unsigned i = 0; i < words.leaving.size(); ++i) {
        leaving.set(i, words.leaving[i]);
    }
    auto ended = root.initEnded(static_cast<unsigned>(words.ended.size()));
    for (unsigned i = 0; i < words.ended.size(); ++i) {
        ended[i].setServer(words.ended[i].server);
        ended[i].setReadTo(words.ended[i].read_to);
    }
    root.setOrdersKnownTo(words.evacuations.known_to.value());
    auto evacuated = root.initEvacuated(static_cast<unsigned>(words.evacuations.evacuated.size()));
    for (unsigned i = 0; i < words.evacuations.evacuated.size(); ++i) {
        evacuated.set(i, words.evacuations.evacuated[i].value());
    }
    fill_limits(root, words.limits);
    if (words.ends_in) {
        // At least 1: 0 says that the sender stays.
        const auto left = std::max<std::int64_t>(words.ends_in->count(), 1);
        root.setEndsInMs(static_cast<std::uint32_t>(left));
    }
    return flat_bytes(message);
}

auto decode_peer_words(std::string_view bytes) -> common::result<peer_report>
{
    peer_report words;
    const bool is_read = read_flat<schema::Words>(
        bytes, datagram_words, [&words](schema::Words::Reader root) { words = read_words(root); });
    if (!is_read) {
        return common::failure(common::result_code::malformed_request, "no message of a peer");
    }
    return words;
}

} // namespace reedramp::router
