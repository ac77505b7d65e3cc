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

/// What is known of an attempt that came before.
enum class attempt_fate : std::uint8_t {
    /// It is under way, or may have been executed.
    may_have_run,
    /// Its caller was told that it has not been executed and never will be.
    refused,
    /// It ended without being executed, and its caller left without an answer.
    not_run,
};

/// The attempt ids that callers have sent to this entry lately. Each is sent once; one that comes
/// again was repeated on its way, by a proxy or a library that the caller uses.
class recent_attempts {
public:
    struct earlier_arrival {
        common::time_point at;
        attempt_fate fate = attempt_fate::may_have_run;
    };

    /// Records an arrival. Returns the first one of the same id, if it is remembered. One that has
    /// not run may run now, and counts as under way.
    auto note_arrival(std::string_view attempt, common::time_point now)
        -> std::optional<earlier_arrival>;

    /// Records what became of an attempt, if it is remembered.
    auto note_fate(std::string_view attempt, attempt_fate fate) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return this->arrived.size(); }

private:
    struct arrival {
        common::time_point at;
        std::uint64_t attempt = 0;
    };

    auto forget_old(common::time_point now) -> void;

    /// By hash of the id. A collision within the time kept is less likely than a broken host.
    std::unordered_map<std::uint64_t, earlier_arrival> arrived;
    std::deque<arrival> oldest_first;
};

} // namespace reedramp::routing
