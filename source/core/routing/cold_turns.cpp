#include "routing/cold_turns.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "placement/affinity.hpp"

namespace reedramp::routing {

namespace {

/// A part of a period, the same for the same two.
auto phase_of(std::uint64_t entry, std::uint64_t server) -> double
{
    constexpr double whole = 18446744073709551616.0;
    return static_cast<double>(placement::affinity_weight(entry, server)) / whole;
}

} // namespace

cold_turns::cold_turns(
    cold_options options, std::uint64_t own_number, std::function<auto()->std::size_t> count)
    : settings(options), self(own_number), entries(std::move(count))
{
}

auto cold_turns::turn_at(const registration& server, double per_second, time_point now) const
    -> turn
{
    const auto borne = per_second * this->settings.excess + this->settings.slack;
    const auto sharing = this->entries ? std::max<std::size_t>(this->entries(), 1) : 1;
    const auto seconds = static_cast<double>(sharing) / (borne * this->settings.aimed_part);
    const auto since_start = std::chrono::duration<double>(now.time_since_epoch()).count();
    const auto phase = phase_of(this->self, server.id_hash);
    const auto number = std::floor(since_start / seconds - phase);
    const auto begins = (number + phase) * seconds;
    const auto as_duration = [](double value) {
        return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(value));
    };
    turn found{time_point{as_duration(begins)}, as_duration(seconds), false};
    const auto sent = this->last_sent.find(server.start());
    // The number of entries changes, and all turns with it: never sooner than a period allows.
    const bool is_used = sent != this->last_sent.end() &&
                         (sent->second >= found.begins ||
                          now - sent->second < found.period - this->settings.turn_time);
    found.is_open = !is_used && now - found.begins < this->settings.turn_time;
    return found;
}

auto cold_turns::may_take(const registration& server, double per_second, time_point now) const
    -> bool
{
    return !applies_to(server, per_second, now) || this->turn_at(server, per_second, now).is_open;
}

auto cold_turns::next_turn(const registration& server, double per_second, time_point now) const
    -> time_point
{
    if (!applies_to(server, per_second, now)) {
        return now;
    }
    const auto current = this->turn_at(server, per_second, now);
    const auto next = current.is_open ? now : current.begins + current.period;
    return std::min(next, server.cold_until);
}

auto cold_turns::note_sent(const registration& server, time_point now) -> void
{
    if (server.is_cold(now)) {
        this->last_sent[server.start()] = now;
    }
}

auto cold_turns::forget_if(const std::function<auto(const server_start& server)->bool>& is_gone)
    -> void
{
    std::erase_if(this->last_sent, [&is_gone](const auto& item) { return is_gone(item.first); });
}

} // namespace reedramp::routing
