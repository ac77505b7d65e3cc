#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "common/units.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

using common::time_point;

/// The end of a registration, as an entry tells those that are cut off from the store.
struct ended_report {
    /// `hash_of` the start.
    std::uint64_t server = 0;
    /// Position in the list's stream behind what was read.
    std::uint64_t read_to = 0;
};

/// Starts of servers that have said that they leave, or have ended: what peers are told of it, and
/// what is remembered of it here.
class departure_tracker {
public:
    auto note_leaving(const server_instance& start, time_point now) -> void;

    /// Another entry has told of its end, or another server answers at its address.
    auto note_ended(const server_instance& start, time_point now) -> void;

    /// The end of its registration, which peers are told. `read_to` as in `ended_report`.
    auto note_end_read(const server_instance& start, std::uint64_t read_to, time_point now) -> void;

    /// Hashes of the starts that have said that they leave, the newest ones.
    [[nodiscard]] auto leaving() const -> std::vector<std::uint64_t>;

    /// Registrations that ended in the last seconds.
    [[nodiscard]] auto ended(time_point now) const -> std::vector<ended_report>;

    /// Whether this start ended in the last minutes.
    [[nodiscard]] auto has_ended(const server_instance& start) const -> bool;

    /// Forgets what peers need not be told any more.
    auto forget_told(time_point now) -> void;

private:
    struct left_server {
        std::uint64_t hash = 0;
        time_point at;
    };

    struct ended_server {
        ended_report word;
        time_point at;
    };

    /// Each with the newest last.
    std::deque<left_server> newest_leaving;
    std::deque<ended_server> newest_ended;
    /// The store may come back from an older copy of itself, in which these stand as ready.
    std::deque<left_server> ended_starts;
};

/// A server that left is remembered for so long after the last word that it does. Words of an
/// earlier moment arrive for some seconds, from a store whose list lags or a peer that stood still.
inline constexpr std::chrono::minutes left_kept_for{5};

/// So many are remembered at the most, 0.6 MB: in five minutes all of the 620 servers that the
/// design is for may be replaced twice.
inline constexpr std::size_t most_left = 2048;

} // namespace reedramp::routing
