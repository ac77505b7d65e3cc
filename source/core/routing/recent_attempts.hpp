#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "common/units.hpp"

namespace reedramp::routing {

/// The attempt ids that callers have sent to this entry lately. Each is sent once; one that comes
/// again was repeated on its way, or read twice.
class recent_attempts {
public:
    /// Records an arrival. Returns when the id came first, if it is remembered.
    auto note_arrival(std::string_view attempt, common::time_point now)
        -> std::optional<common::time_point>;

    [[nodiscard]] auto size() const -> std::size_t { return this->arrived.size(); }

private:
    struct arrival {
        common::time_point at;
        std::uint64_t attempt = 0;
    };

    auto forget_old(common::time_point now) -> void;

    /// By hash of the id. A collision within the time kept is less likely than a broken host.
    std::unordered_map<std::uint64_t, common::time_point> arrived;
    std::deque<arrival> oldest_first;
};

} // namespace reedramp::routing
