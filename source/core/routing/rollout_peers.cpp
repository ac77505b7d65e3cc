#include <algorithm>
#include <utility>

#include "routing/rollout_guide.hpp"

/// What entries tell each other of roll-outs: the part of `rollout_guide` that peers hear and fill.
namespace reedramp::routing {

namespace {

/// An entry that has been silent for this long has ended, or can't be waited for.
constexpr common::duration peer_silence = std::chrono::seconds{2};

/// Peers that have not been heard for this long are forgotten.
constexpr common::duration forgotten_after = std::chrono::minutes{1};

/// A peer's order is newer than this entry's when it began later by this: beginnings are taken from
/// messages, and differ by as much as those take.
constexpr common::duration order_distance = std::chrono::milliseconds{500};

/// Sessions told in one message, 16 bytes each: a tenth of what an entry serves in session_time at
/// 150 requests a second. Those left out may change their version at another entry.
constexpr std::size_t most_told_sessions = 96;

} // namespace

auto rollout_guide::hear(
    const common::host_id& peer, const std::vector<rollout_report>& words, time_point now) -> void
{
    this->peers_heard[peer] = now;
    std::erase_if(
        this->peers_heard, [now](const auto& item) { return now - item.second > forgotten_after; });
    for (const auto& told : words) {
        auto found = this->rollouts.find(told.service);
        if (found == this->rollouts.end()) {
            // The store turns this entry away, and has told the peer of an order.
            this->order({told.service, told.target, told.allowed}, now);
            found = this->rollouts.find(told.service);
        }
        if (found == this->rollouts.end()) {
            continue;
        }
        auto& one = found->second;
        if (one.order.target != told.target) {
            this->hear_other_order(one, told, now);
            continue;
        }
        // An entry that started later, or heard of the order later, takes the older beginning.
        one.began = std::min(one.began, now - told.elapsed);
        one.peers[peer] = {now, told.left_on_old, std::max(told.rate, 0.0)};
        // Before its share: a peer that counts more first answers has not let sessions move.
        one.first_share = std::max(
            one.first_share, std::min(told.first_share, this->settings.largest_first_share));
        one.evidence.hear(peer, told.evidence);
        one.reached_share = std::max(one.reached_share, std::min(told.share, 1.0));
        this->sessions.hear(told.service, told.old_sessions, now);
        if (told.is_written) {
            this->learn({told.service, told.target, told.state});
        }
    }
}

auto rollout_guide::hear_other_order(
    const rollout& ours, const rollout_report& told, time_point now) -> void
{
    const auto began = now - told.elapsed;
    if (told.state == rollout_state::running && began > ours.began + order_distance) {
        this->order({told.service, told.target, told.allowed}, began);
    }
    else if (told.is_written && ours.state == rollout_state::running && began < ours.began) {
        // How the one before it ended: this entry may not have read it before the next order.
        this->note_end(told.service, told.target, told.state);
    }
}

auto rollout_guide::tell(time_point now) const -> std::vector<rollout_report>
{
    std::vector<rollout_report> all;
    for (const auto& [service, one] : this->rollouts) {
        const auto rate = this->rates.find(service);
        rollout_report told{
            service,
            one.order.target,
            one.order.allowed,
            this->elapsed(one, now),
            this->own_left_on_old(one, now),
            {},
            this->share_of(one, now),
            one.first_share,
            rate == this->rates.end() ? 0.0 : rate->second.per_second(now),
            one.state,
            one.written == one.state,
            this->sessions_to_tell(one, now)};
        if (told.is_written && told.state != rollout_state::running) {
            all.push_back(std::move(told)); // What has been seen decides nothing any more.
            continue;
        }
        told.evidence = one.evidence.tell();
        all.push_back(std::move(told));
    }
    return all;
}

auto rollout_guide::sessions_to_tell(const rollout& one, time_point now) const
    -> std::vector<session_report>
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
        most_told_sessions,
        now);
}

auto rollout_guide::left_on_old(const rollout& one, time_point now) const -> unsigned
{
    auto count = this->own_left_on_old(one, now);
    for (const auto& [peer, words] : one.peers) {
        count += now - words.heard < peer_silence ? words.left_on_old : 0;
    }
    return count;
}

auto rollout_guide::own_left_on_old(const rollout& one, time_point now) const -> unsigned
{
    const auto& order = one.order;
    auto count = static_cast<unsigned>(
        this->sessions.count_on_other_versions(order.service, order.target, now));
    for (const auto& [key, requests] : this->under_way) {
        const bool is_old = key.first == order.service && key.second != order.target;
        count += is_old ? requests : 0;
    }
    return count;
}

} // namespace reedramp::routing
