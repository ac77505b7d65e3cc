#pragma once

#include <set>
#include <vector>

#include "common/ids.hpp"
#include "routing/stream_position.hpp"

namespace reedramp::routing {

/// An operator's order to evacuate one data centre, or to lift its evacuation.
struct evacuation_order {
    common::data_centre_id data_centre;
    /// False lifts the evacuation.
    bool is_evacuated = true;
    /// Position of the record in the operators' stream.
    stream_position at;
};

/// All evacuated data centres, as known by one entry and sent to its peers.
struct evacuation_report {
    /// All orders before this position in the operators' stream are included. 0: nothing is known.
    stream_position known_to;
    std::vector<common::data_centre_id> evacuated;
};

/// Data centres whose evacuation state a report or order changed.
struct evacuation_change {
    std::vector<common::data_centre_id> evacuated;
    std::vector<common::data_centre_id> lifted;

    [[nodiscard]] auto is_empty() const -> bool
    {
        return this->evacuated.empty() && this->lifted.empty();
    }
};

/// The data centres that receive no requests until the operators lift their evacuation.
///
/// The set is determined entirely by the operators' stream up to a position. The set with the later
/// position is therefore valid, whichever entry reports it and in whatever order reports arrive,
/// and an entry that missed the order to lift an evacuation learns of it from the set alone.
class evacuation_registry {
public:
    /// Replaces the whole set if `known` has a later position: after reading all keys, or on a
    /// peer's report.
    auto replace(const evacuation_report& known) -> evacuation_change;

    /// Applies the orders that were read after this entry's previous position, up to `end`.
    auto apply_orders(const std::vector<evacuation_order>& orders, stream_position end)
        -> evacuation_change;

    [[nodiscard]] auto make_report() const -> evacuation_report;

    [[nodiscard]] auto evacuated() const -> const std::set<common::data_centre_id>&
    {
        return this->current;
    }

private:
    auto change_to(std::set<common::data_centre_id> next) -> evacuation_change;

    stream_position known_to;
    std::set<common::data_centre_id> current;
};

} // namespace reedramp::routing
