#pragma once

#include <set>
#include <vector>

#include "common/ids.hpp"
#include "routing/stream_position.hpp"

namespace reedramp::routing {

/// The operators' word on one data centre.
struct evacuation_order {
    common::data_centre_id data_centre;
    /// False takes it back.
    bool is_evacuated = true;
    /// Of the record in the operators' stream.
    stream_position at;
};

/// All data centres that are evacuated, as one entry knows it and tells the others.
struct evacuation_report {
    /// What the operators wrote before this position is taken into account. 0: nothing is known.
    stream_position known_to;
    std::vector<common::data_centre_id> evacuated;
};

/// Data centres that were evacuated, or taken back, by a word.
struct evacuation_change {
    std::vector<common::data_centre_id> evacuated;
    std::vector<common::data_centre_id> taken_back;

    [[nodiscard]] auto is_empty() const -> bool
    {
        return this->evacuated.empty() && this->taken_back.empty();
    }
};

/// Which data centres get nothing until the operators take them back.
///
/// The set follows from the operators' stream up to a position alone. So the set that is known up
/// to the later position holds, whoever tells it and in whatever order words come, and an entry
/// that missed a removal hears of it without a word on the removal itself.
class evacuation_registry {
public:
    /// The whole set: a reading of all keys, or what another entry knows.
    auto replace(const evacuation_report& known) -> evacuation_change;

    /// What a reading gave behind this entry's last one, up to `end`.
    auto follow(const std::vector<evacuation_order>& orders, stream_position end)
        -> evacuation_change;

    [[nodiscard]] auto tell() const -> evacuation_report;

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
