#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "limits/amounts.hpp"
#include "messages/peer.hpp"

namespace reedramp::limits {

/// Counts amounts between reports. The count is exact: the reported rates add up to the counted
/// amounts, whatever the pattern of arrivals within a period.
class period_meter {
public:
    auto add(amounts added) -> void;

    /// Ends the period that began `minutes` ago.
    auto close(double minutes) -> void;

    /// Amounts per minute in the last completed period.
    [[nodiscard]] auto last() const -> amounts { return amounts::of(this->last_rates); }

    /// Amounts per minute, smoothed over several periods.
    [[nodiscard]] auto smoothed() const -> amounts { return amounts::of(this->smoothed_rates); }

private:
    std::array<double, dimension_count> counts{};
    std::array<double, dimension_count> last_rates{};
    std::array<double, dimension_count> smoothed_rates{};
    bool has_closed = false;
};

/// Enforces one organisation's limits in one entry.
///
/// While the total demand of the fleet is known, the entry admits a ratio of its own requests: the
/// fleet's limit divided by the fleet's demand. What the fleet admitted above or below the limit is
/// carried over as a balance and corrected for, so that errors caused by the delay of the total do
/// not accumulate. Without a total, the entry admits an equal share of the limit, 1/n for n listed
/// entries, so that the shares of entries that cannot reach each other add up to the limit.
class organisation_limiter {
public:
    /// `phase`, from 0 to 1, determines which request of a thinned sequence is admitted first. It
    /// differs between entries; otherwise either all or none would admit their first request.
    /// The process started at `started`: its bucket has filled since then.
    organisation_limiter(
        common::organisation_id organisation, double phase, common::time_point started);

    auto set_limits(amounts per_minute) -> void { this->limit = per_minute; }

    /// Counts the request and decides whether to admit it. `listed` is the number of listed
    /// entries.
    auto admit(amounts expected, std::size_t listed, common::time_point now)
        -> common::result<void>;

    /// Replaces the expected cost of an ended request by what it used.
    auto reconcile(amounts expected, amounts used) -> void;

    /// Ends a counting period; to be called in every report period, before `make_entry_row`. False
    /// if it was the first call, which ends none: the demand is not known yet then.
    auto close_period(common::time_point now) -> bool;

    /// This entry's row: its smoothed demand and the amounts it admitted in the last period.
    [[nodiscard]] auto make_entry_row() const -> messages::limit_demand;

    /// Stores the row of an entry of this data centre, if this entry sums the data centre's demand.
    auto store_entry_row(
        const common::host_id& from, messages::limit_demand row, common::time_point expires)
        -> void;

    /// Stores the sum of another data centre.
    auto store_data_centre_row(
        const common::data_centre_id& from, messages::limit_demand row, common::time_point expires)
        -> void;

    /// Sets the fleet's total, which is valid until `expires`.
    auto set_fleet_total(messages::limit_demand row, common::time_point expires) -> void;

    /// The sum of the unexpired rows of this data centre.
    auto make_data_centre_row(common::time_point now) -> messages::limit_demand;

    /// The sum of this data centre and of the unexpired sums of the others.
    auto make_fleet_row(common::time_point now) -> messages::limit_demand;

    /// The fleet's total, unless it has expired or none was received.
    [[nodiscard]] auto fresh_total(common::time_point now) const
        -> std::optional<messages::limit_demand>;

    /// Updates the balance to `now`; to be called in every report period.
    auto update_balance(std::size_t listed, common::time_point now) -> void;

private:
    struct stored_row {
        messages::limit_demand row;
        common::time_point expires;
    };

    /// The ratio of requests that is admitted, and the dimension that limits it.
    struct admission {
        double ratio = 1.0;
        dimension binding = dimension::requests;
    };

    [[nodiscard]] auto
    admission_ratio(const messages::limit_demand& total, std::size_t listed) const -> admission;
    auto take_from_bucket(amounts expected, double share, double headroom, common::time_point now)
        -> std::optional<dimension>;
    [[nodiscard]] auto refusal(dimension binding, double ratio, common::time_point now) const
        -> tl::unexpected<common::error>;

    common::organisation_id organisation;
    amounts limit;
    period_meter offered;
    period_meter admitted;
    std::optional<common::time_point> period_start;
    /// Accumulated admission ratio; a request is admitted when it reaches 1.
    double thinning_credit;
    /// By dimension, what the fleet may spend in addition to its limit, or has to save if negative.
    std::array<double, dimension_count> balance{};
    std::optional<common::time_point> balance_time;
    /// This entry's token bucket, by dimension. It limits bursts that the total does not show yet.
    std::array<double, dimension_count> bucket{};
    common::time_point bucket_time;
    /// Whether a total has shown that the organisation is within its limits; the bucket is filled
    /// at the first one.
    bool has_seen_room = false;
    std::optional<stored_row> fleet_total;
    std::map<common::host_id, stored_row> entry_rows;
    std::map<common::data_centre_id, stored_row> data_centre_rows;
};

} // namespace reedramp::limits
