#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "common/units.hpp"

namespace reedramp::placement {

struct arrival_smoother_settings {
    /// Time over which the mean rate is taken.
    common::duration memory = std::chrono::seconds{30};
    /// Time whose arrivals may count at once, beside a single one.
    common::duration burst = std::chrono::seconds{2};
    /// Rate at which arrivals may count, in mean rates. At 1, chance alone would keep some of a
    /// steady rate's arrivals from counting.
    double headroom = 1.3;
};

/// Decides how much of each arrival counts: in any span of time what the mean rate brings in it
/// with some headroom, and a short burst. So a backlog that is read at once counts little more than
/// the time in which it is read, however long it waited and wherever; the mean includes the silence
/// before it.
///
/// A token bucket whose rate is the mean of the arrivals.
class arrival_smoother {
public:
    explicit arrival_smoother(arrival_smoother_settings settings);

    /// Records an arrival. Returns the part of it that counts, 0 to 1.
    auto record(common::time_point now) -> double;

    /// Mean rate.
    [[nodiscard]] auto per_second(common::time_point now) -> double;

    /// Arrivals of the last `time`, which the memory covers.
    [[nodiscard]] auto count_within(common::time_point now, common::duration time) -> std::uint32_t;

private:
    static constexpr std::size_t slot_count = 60;

    [[nodiscard]] auto slot_length() const -> common::duration;
    [[nodiscard]] auto slot_number(common::time_point now) const -> std::int64_t;
    auto drop_expired(std::int64_t current) -> void;

    arrival_smoother_settings settings;
    /// Arrivals in each slot of time that the memory has, and their sum.
    std::array<std::uint32_t, slot_count> arrivals{};
    std::uint32_t remembered = 0;
    std::int64_t newest_slot = 0;
    /// Arrivals that may count now.
    double tokens = 1.0;
    common::time_point first = common::never;
    common::time_point updated;
};

} // namespace reedramp::placement
