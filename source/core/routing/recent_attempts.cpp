#include "routing/recent_attempts.hpp"

#include "placement/affinity.hpp"

namespace reedramp::routing {

namespace {

/// Longer than callers wait for any response.
constexpr std::chrono::seconds kept_for{30};
/// 30 s at a hundred times the load of an entry at full size.
constexpr std::size_t most_kept = 32768;

} // namespace

auto recent_attempts::note_arrival(std::string_view attempt, common::time_point now)
    -> std::optional<earlier_arrival>
{
    this->forget_old(now);
    const auto hash = placement::affinity_hash(attempt);
    const auto [known, is_new] = this->arrived.emplace(hash, earlier_arrival{now});
    if (!is_new) {
        const auto before = known->second;
        if (before.fate == attempt_fate::not_run) {
            known->second.fate = attempt_fate::may_have_run;
        }
        return before;
    }
    this->oldest_first.push_back({now, hash});
    return std::nullopt;
}

auto recent_attempts::note_fate(std::string_view attempt, attempt_fate fate) -> void
{
    const auto known = this->arrived.find(placement::affinity_hash(attempt));
    if (known != this->arrived.end()) {
        known->second.fate = fate;
    }
}

auto recent_attempts::forget_old(common::time_point now) -> void
{
    const auto is_old = [this, now](const arrival& one) {
        return now - one.at > kept_for || this->oldest_first.size() >= most_kept;
    };
    while (!this->oldest_first.empty() && is_old(this->oldest_first.front())) {
        this->arrived.erase(this->oldest_first.front().attempt);
        this->oldest_first.pop_front();
    }
}

} // namespace reedramp::routing
