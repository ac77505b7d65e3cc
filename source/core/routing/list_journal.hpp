#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "routing/server_table.hpp"

namespace reedramp::routing {

/// The newest changes of the servers' list as this entry has taken them in, for entries that know
/// the list up to some earlier position and ask this one in place of the store.
class list_journal {
public:
    /// The list was read from `from` up to `end`, and these are all changes in between.
    auto
    note(std::uint64_t from, std::uint64_t end, const std::vector<registration_change>& changes)
        -> void;

    /// All changes after `position`, in their order; none when some of them are not kept, or when
    /// this entry does not know that position yet.
    [[nodiscard]] auto since(std::uint64_t position) const
        -> std::optional<std::vector<registration_change>>;

private:
    struct kept_change {
        /// Position behind the reading that brought it.
        std::uint64_t end = 0;
        registration_change change;
    };

    /// Changes after this position are kept.
    std::uint64_t kept_from = 0;
    std::uint64_t known_to = 0;
    bool is_empty = true;
    std::deque<kept_change> changes;
};

} // namespace reedramp::routing
