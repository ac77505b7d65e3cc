#include "peer_group.hpp"

#include <utility>

#include "common/log.hpp"

namespace reedramp::router_program {

namespace {

/// A peer that has been silent for this long is not counted among the living.
constexpr common::duration silence = std::chrono::seconds{2};
/// One that has been silent for this long is forgotten; if it lives, it will speak first.
constexpr common::duration forgotten_after = std::chrono::seconds{20};

} // namespace

peer_group::peer_group(
    std::shared_ptr<router::router_core> core_to_tell_of,
    common::host_id own_host,
    http::endpoint address,
    send_hook send_datagram,
    newer_rules_hook newer_rules)
    : core(std::move(core_to_tell_of)), self(std::move(own_host)), own_address(std::move(address)),
      send(std::move(send_datagram)), on_newer_rules(std::move(newer_rules))
{
}

auto peer_group::add(const http::endpoint& where) -> void
{
    if (where != this->own_address) {
        this->peers.try_emplace(where, peer{this->core->hooks.clock(), {}});
    }
}

auto peer_group::tell() -> void
{
    const auto now = this->core->hooks.clock();
    std::erase_if(
        this->peers, [now](const auto& item) { return now - item.second.heard > forgotten_after; });
    router::peer_words words;
    words.host = this->self;
    words.address = http::to_string(this->own_address);
    words.rules_version = this->core->rules() == nullptr ? 0 : this->core->rules()->version();
    words.loads = this->core->loads.tell();
    words.rollouts = this->core->rollouts.tell(now);
    words.leaving = this->core->servers.leaving();
    for (const auto& [where, known] : this->peers) {
        if (now - known.heard < silence) {
            words.peers.push_back(http::to_string(where));
        }
    }
    const auto bytes = router::encode(words);
    for (const auto& [where, known] : this->peers) {
        this->send(where, bytes);
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
    for (const auto& other : words->peers) {
        if (const auto where = http::parse_endpoint(other)) {
            this->add(*where);
        }
    }
    this->core->servers.retire_named(words->leaving);
    this->core->loads.hear(words->host, words->loads, now);
    this->core->rollouts.hear(words->host, words->rollouts, now);
    const auto own_version = this->core->rules() == nullptr ? 0 : this->core->rules()->version();
    if (words->rules_version > own_version) {
        this->on_newer_rules(*from);
    }
}

auto peer_group::rank() const -> std::size_t
{
    const auto now = this->core->hooks.clock();
    std::size_t before = 0;
    for (const auto& [where, known] : this->peers) {
        const bool is_alive = now - known.heard < silence && !known.host.value().empty();
        before += is_alive && known.host < this->self ? 1 : 0;
    }
    return before;
}

auto peer_group::heard() const -> std::size_t
{
    const auto now = this->core->hooks.clock();
    std::size_t alive = 0;
    for (const auto& [where, known] : this->peers) {
        alive += now - known.heard < silence && !known.host.value().empty() ? 1 : 0;
    }
    return alive;
}

} // namespace reedramp::router_program
