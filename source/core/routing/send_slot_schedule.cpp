#include "routing/send_slot_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::routing {

namespace {

/// A turn lasts until the next entry's begins, and for so long at the least. Turns that were saved
/// up would all be used in the moment in which callers return.
constexpr double least_turn_s = 0.25;

/// A turn's beginning follows from a time of day in whole milliseconds, and is found a little
/// earlier or later each time; a send at its very beginning must count as one of it.
constexpr std::chrono::milliseconds begin_varies{2};

/// A part of a round of turns, so that an entry's turns at different servers do not come together.
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

auto send_slot_schedule::place_at(time_point now) const -> entry_rank
{
    if (this->place_known_at != now && this->hooks.place) {
        this->known_place = this->hooks.place();
        this->place_known_at = now;
    }
    return this->known_place;
}

auto send_slot_schedule::shared_seconds(time_point now) const -> double
{
    if (!this->hooks.unix_ms) {
        return std::chrono::duration<double>(now.time_since_epoch()).count();
    }
    constexpr double ms_per_second = 1000.0;
    return static_cast<double>(this->hooks.unix_ms()) / ms_per_second;
}

auto send_slot_schedule::turn_at(
    const registration& server, double per_second, time_point now) const -> turn
{
    const auto place = this->place_at(now);
    const auto entries = static_cast<double>(std::max<std::size_t>(place.of, 1));
    const double spacing = 1.0 / per_second;
    const double period = spacing * entries;
    const double lasts = std::max(spacing, least_turn_s);
    const double phase = static_cast<double>(place.number) / entries + phase_of(server);
    const double rounds = this->shared_seconds(now) / period - phase;
    const double since_begin = (rounds - std::floor(rounds)) * period;

    turn found{now - as_duration(since_begin), as_duration(period), false};
    const auto sent = this->last_sent.find(server.start());
    // The number of entries changes, and the time of day may jump, and all turns with them: never
    // sooner than a period allows.
    const bool is_used =
        sent != this->last_sent.end() && (sent->second >= found.begins - begin_varies ||
                                          now - sent->second < as_duration(period - lasts));
    found.is_open = !is_used && since_begin < lasts;
    return found;
}

auto send_slot_schedule::next_turn(
    const registration& server, double per_second, time_point now) const -> time_point
{
    const auto current = this->turn_at(server, per_second, now);
    return current.is_open ? now : current.begins + current.period;
}

auto send_slot_schedule::forget_if(
    const std::function<auto(const server_instance& server)->bool>& is_gone) -> void
{
    std::erase_if(this->last_sent, [&is_gone](const auto& item) { return is_gone(item.first); });
}

} // namespace reedramp::routing
