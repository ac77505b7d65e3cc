#include "routing/send_slot_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::routing {

namespace {

/// Minimum length of a slot; otherwise it lasts until the next entry's starts. Unused slots are not
/// saved up, since all would be used at once when callers return.
constexpr double min_slot_s = 0.25;

/// The start of a slot is computed from a time of day in whole milliseconds and varies slightly; a
/// send at the very start must count as part of the slot.
constexpr std::chrono::milliseconds begin_tolerance{2};

/// Phase of a server's slots, as a fraction of the period, so that an entry's slots at different
/// servers do not coincide.
auto phase_of(const registration& server) -> double
{
    constexpr double whole = 18446744073709551616.0;
    return static_cast<double>(server.id_hash) / whole;
}

auto as_duration(double seconds) -> common::duration
{
    return std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

auto send_slot_schedule::rank_at(time_point now) const -> entry_rank
{
    if (this->rank_known_at != now && this->hooks.rank) {
        this->known_rank = this->hooks.rank();
        this->rank_known_at = now;
    }
    return this->known_rank;
}

auto send_slot_schedule::shared_seconds(time_point now) const -> double
{
    if (!this->hooks.unix_ms) {
        return std::chrono::duration<double>(now.time_since_epoch()).count();
    }
    constexpr double ms_per_second = 1000.0;
    return static_cast<double>(this->hooks.unix_ms()) / ms_per_second;
}

auto send_slot_schedule::slot_at(
    const registration& server, double per_second, time_point now) const -> slot
{
    const auto rank = this->rank_at(now);
    const auto entries = static_cast<double>(std::max<std::size_t>(rank.of, 1));
    const double spacing = 1.0 / per_second;
    const double period = spacing * entries;
    const double lasts = std::max(spacing, min_slot_s);
    const double phase = static_cast<double>(rank.number) / entries + phase_of(server);
    const double rounds = this->shared_seconds(now) / period - phase;
    const double since_begin = (rounds - std::floor(rounds)) * period;

    slot found{now - as_duration(since_begin), as_duration(period), false};
    const auto sent = this->last_sent.find(server.instance());
    // When the number of entries changes, or the clock jumps, all slots move: a slot is never used
    // sooner than a period allows.
    const bool is_used =
        sent != this->last_sent.end() && (sent->second >= found.begins - begin_tolerance ||
                                          now - sent->second < as_duration(period - lasts));
    found.is_open = !is_used && since_begin < lasts;
    return found;
}

auto send_slot_schedule::next_slot(
    const registration& server, double per_second, time_point now) const -> time_point
{
    const auto current = this->slot_at(server, per_second, now);
    return current.is_open ? now : current.begins + current.period;
}

auto send_slot_schedule::forget_if(
    const std::function<auto(const server_instance& server)->bool>& is_gone) -> void
{
    std::erase_if(this->last_sent, [&is_gone](const auto& item) { return is_gone(item.first); });
}

} // namespace reedramp::routing
