#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "routing/server_table.hpp"

namespace reedramp::routing {

/// The most recent changes of the server list that this entry applied, for entries that have the
/// list up to an earlier position and ask this one instead of the store.
class list_journal {
public:
    /// Adds all changes between `from` and `end`.
    auto
    note(std::uint64_t from, std::uint64_t end, const std::vector<registration_change>& changes)
        -> void;

    /// Returns all changes after `position`, in order. Returns none if some of them are no longer
    /// kept, or if this entry has not reached that position.
    [[nodiscard]] auto since(std::uint64_t position) const
        -> std::optional<std::vector<registration_change>>;

private:
    struct kept_change {
        /// Position after the reading that returned the change.
        std::uint64_t end = 0;
        registration_change change;
    };

    /// Changes after this position are available.
    std::uint64_t kept_from = 0;
    std::uint64_t known_to = 0;
    bool is_empty = true;
    std::deque<kept_change> changes;
};

} // namespace reedramp::routing
