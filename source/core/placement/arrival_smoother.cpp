#include "placement/arrival_smoother.hpp"

#include <algorithm>

namespace reedramp::placement {

namespace {

/// Time from which the rate of arrivals that have just begun is known.
constexpr std::chrono::milliseconds shortest_sample{500};

auto seconds_of(common::duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

arrival_smoother::arrival_smoother(arrival_smoother_settings wanted) : settings(wanted) {}

auto arrival_smoother::slot_length() const -> common::duration
{
    return std::max(
        this->settings.memory / static_cast<std::int64_t>(slot_count), common::duration{1});
}

auto arrival_smoother::slot_number(common::time_point now) const -> std::int64_t
{
    return now.time_since_epoch() / this->slot_length();
}

auto arrival_smoother::drop_expired(std::int64_t current) -> void
{
    const auto passed = std::min<std::int64_t>(current - this->newest_slot, slot_count);
    for (std::int64_t i = 1; i <= passed; ++i) {
        auto& slot = this->arrivals[static_cast<std::size_t>(this->newest_slot + i) % slot_count];
        this->remembered -= slot;
        slot = 0;
    }
    this->newest_slot = std::max(this->newest_slot, current);
}

auto arrival_smoother::per_second(common::time_point now) -> double
{
    if (this->first == common::never) {
        return 0.0;
    }
    this->drop_expired(this->slot_number(now));
    const auto sample =
        std::clamp<common::duration>(now - this->first, shortest_sample, this->settings.memory);
    return static_cast<double>(this->remembered) / seconds_of(sample);
}

auto arrival_smoother::count_within(common::time_point now, common::duration time) -> std::uint32_t
{
    this->drop_expired(this->slot_number(now));
    std::uint32_t count = 0;
    const auto slots = std::min<std::int64_t>(time / this->slot_length(), slot_count);
    for (std::int64_t i = 0; i < slots; ++i) {
        count += this->arrivals[static_cast<std::size_t>(this->newest_slot - i) % slot_count];
    }
    return count;
}

auto arrival_smoother::record(common::time_point now) -> double
{
    this->drop_expired(this->slot_number(now));
    if (this->remembered == 0) {
        // No request is delayed for as long as the memory: these arrivals have just begun.
        this->first = now;
        this->updated = now;
    }
    const auto rate = this->per_second(now);
    const auto passed = seconds_of(std::max(now - this->updated, common::duration::zero()));
    this->tokens += this->settings.headroom * rate * passed;
    this->tokens = std::min(this->tokens, rate * seconds_of(this->settings.burst) + 1.0);
    this->updated = std::max(this->updated, now);
    this->arrivals[static_cast<std::size_t>(this->newest_slot) % slot_count] += 1;
    this->remembered += 1;
    const auto counted = std::min(this->tokens, 1.0);
    this->tokens -= counted;
    return counted;
}

} // namespace reedramp::placement
