#include "peer_group.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace reedramp::router_program {

namespace {

/// Peers told at a time. At a message of some 300 bytes each 100 ms, 12 KB a second go out.
constexpr std::size_t told_at_once = 4;
/// Addresses of others in a message; enough to find all within some messages.
constexpr std::size_t named_peers = 8;
/// Least time of silence after which a peer is not counted among the living, and the rounds of
/// messages that it may miss.
constexpr common::duration least_silence = std::chrono::seconds{2};
constexpr int missed_rounds = 3;
/// A peer's load counts for this many rounds: it is gone soon after its entry.
constexpr int trusted_rounds = 5;
/// From the end of an entry's process until callers reach the next one: the platform's pause of
/// half a second or more, the start, and the second after which the balancer asks again. Before
/// that it sends callers to those that still leave.
constexpr common::duration restart_time = std::chrono::seconds{2};
/// One that has been silent for this long is forgotten; if it lives, it will speak first.
constexpr common::duration forgotten_after = std::chrono::seconds{20};

/// What a process has seen of a new version stays true when it ends. Under its host's name alone,
/// the next process' empty words took the place of it: after a restart of all entries in turn
/// nothing was known against a bad version, and all callers were moved to it.
auto process_name(const router::peer_words& words) -> common::host_id
{
    return common::host_id{words.host.value() + "#" + std::to_string(words.process)};
}

} // namespace

peer_group::peer_group(
    std::shared_ptr<router::router_core> core_to_tell_of,
    common::host_id own_host,
    http::endpoint address,
    std::chrono::milliseconds tell_period,
    send_hook send_datagram,
    newer_rules_hook newer_rules)
    : core(std::move(core_to_tell_of)), self(std::move(own_host)),
      process(this->core->hooks.random()), own_address(std::move(address)),
      send(std::move(send_datagram)), on_newer_rules(std::move(newer_rules)), period(tell_period)
{
}

auto peer_group::add(const http::endpoint& where) -> void
{
    if (where != this->own_address) {
        this->peers.try_emplace(where, peer{this->core->hooks.clock(), {}});
    }
}

auto peer_group::calls_per_round() const -> std::size_t
{
    return std::max<std::size_t>(1, (this->peers.size() + told_at_once - 1) / told_at_once);
}

auto peer_group::silence() const -> common::duration
{
    const auto round = this->period * static_cast<int>(this->calls_per_round());
    return std::max<common::duration>(least_silence, round * missed_rounds);
}

auto peer_group::own_words(common::time_point now) const -> router::peer_words
{
    router::peer_words words;
    words.host = this->self;
    words.process = this->process;
    words.address = http::to_string(this->own_address);
    words.rules_version = this->core->rules() == nullptr ? 0 : this->core->rules()->version();
    words.loads = this->core->loads.tell();
    words.rollouts = this->core->rollouts.tell(now);
    words.freshness = this->core->freshness.tell(now);
    words.outcomes = this->core->health.tell(now);
    words.leaving = this->core->servers.leaving();
    words.ended = this->core->servers.ended(now);
    if (this->core->leaves_at() != common::never) {
        words.ends_in =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->core->leaves_at() - now);
    }
    for (const auto& [where, known] : this->peers) {
        if (words.peers.size() < named_peers && now - known.heard < this->silence()) {
            words.peers.push_back(http::to_string(where));
        }
    }
    return words;
}

auto peer_group::tell() -> void
{
    const auto now = this->core->hooks.clock();
    std::erase_if(
        this->peers, [now](const auto& item) { return now - item.second.heard > forgotten_after; });
    const auto bytes = router::encode(this->own_words(now));
    const auto count = std::min(told_at_once, this->peers.size());
    auto next = this->peers.upper_bound(this->told_last);
    for (std::size_t i = 0; i < count; ++i) {
        if (next == this->peers.end()) {
            next = this->peers.begin();
        }
        this->send(next->first, bytes);
        this->told_last = next->first;
        ++next;
    }
}

auto peer_group::hear(std::string_view bytes) -> void
{
    const auto words = router::decode_peer_words(bytes);
    const auto from = words ? http::parse_endpoint(words->address) : std::nullopt;
    if (!from || *from == this->own_address) {
        return;
    }
    const auto now = this->core->hooks.clock();
    auto& known = this->peers[*from];
    if (known.host != words->host) {
        common::log(
            common::log_part::members,
            common::log_level::info,
            "peer heard host=" + words->host.value() + " address=" + words->address);
    }
    known.heard = now;
    known.host = words->host;
    known.ends_at = words->ends_in ? now + *words->ends_in : common::never;
    for (const auto& other : words->peers) {
        if (const auto where = http::parse_endpoint(other)) {
            this->add(*where);
        }
    }
    this->hear_of_servers(*words, now);
    const auto round = this->period * static_cast<int>(this->calls_per_round());
    const auto trusted_until = now + round * trusted_rounds;
    this->core->loads.hear(words->host, words->loads, trusted_until);
    this->core->freshness.hear(words->freshness, now);
    this->core->health.hear(words->host, words->outcomes, trusted_until, now);
    this->core->rollouts.hear(process_name(*words), words->rollouts, now);
    const auto own_version = this->core->rules() == nullptr ? 0 : this->core->rules()->version();
    if (words->rules_version > own_version) {
        this->on_newer_rules(*from);
    }
}

auto peer_group::hear_of_servers(const router::peer_words& words, common::time_point now) -> void
{
    const auto log = [&words](const char* what, const routing::server_start& server) {
        common::log(
            common::log_part::members,
            common::log_level::info,
            std::string{what} + " server=" + to_string(server) + " told_by=" + words.host.value());
    };
    auto& servers = this->core->servers;
    for (const auto& server : servers.retire_named(words.leaving, now)) {
        log("server leaving", server);
    }
    for (const auto& server : servers.end_named(words.ended, this->core->freshness.read_to())) {
        log("server gone", server);
    }
}

auto peer_group::living() const -> std::vector<peer>
{
    const auto now = this->core->hooks.clock();
    std::vector<peer> alive;
    for (const auto& [where, known] : this->peers) {
        if (now - known.heard < this->silence() && !known.host.value().empty()) {
            alive.push_back(known);
        }
    }
    return alive;
}

auto peer_group::rank() const -> std::size_t
{
    const auto alive = this->living();
    return static_cast<std::size_t>(std::ranges::count_if(
        alive, [this](const peer& other) { return other.host < this->self; }));
}

auto peer_group::served_elsewhere_at(common::time_point now) const -> common::time_point
{
    auto first_end = this->core->leaves_at();
    for (const auto& other : this->living()) {
        if (other.ends_at == common::never) {
            return now;
        }
        first_end = std::min(first_end, other.ends_at);
    }
    return first_end == common::never ? now : first_end + restart_time;
}

auto peer_group::heard() const -> std::size_t
{
    return this->living().size();
}

} // namespace reedramp::router_program
