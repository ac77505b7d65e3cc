#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "common/units.hpp"

namespace reedramp::placement {

/// Counts the retries of one process that servers may receive within one window: each from its
/// grant until a window after its latest possible arrival.
///
/// Of the retries that arrive in any window, none has left the count when the last one is granted.
/// So a bound on the count bounds what arrives in a window, however long sends are on their way.
class retry_window {
public:
    explicit retry_window(common::duration window);

    /// Counts a retry that arrives at `latest` or before.
    auto add(common::time_point latest) -> void;

    /// Replaces the latest arrival of a retry that was added with `assumed`.
    auto move(common::time_point assumed, common::time_point latest) -> void;

    [[nodiscard]] auto count(common::time_point now) -> std::size_t;

private:
    /// Number of the time slot in which a retry that arrives at `latest` leaves the count.
    [[nodiscard]] auto slot_of(common::time_point latest) const -> std::int64_t;

    common::duration window;
    /// By the slot in which they leave the count.
    std::map<std::int64_t, std::size_t> leaving;
    std::size_t total = 0;
};

} // namespace reedramp::placement
