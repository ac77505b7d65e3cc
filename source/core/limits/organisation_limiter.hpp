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

/// Counts amounts between reports, exactly: what is reported adds up to what was counted, whatever
/// the pattern of arrivals within a period.
class period_meter {
public:
    auto add(amounts added) -> void;

    /// Ends the period that began `minutes` ago.
    auto close(double minutes) -> void;

    /// Amounts a minute in the last whole period.
    [[nodiscard]] auto last() const -> amounts { return amounts::of(this->last_rates); }

    /// Amounts a minute, smoothed over some periods.
    [[nodiscard]] auto smoothed() const -> amounts { return amounts::of(this->smoothed_rates); }

private:
    std::array<double, dimension_count> counts{};
    std::array<double, dimension_count> last_rates{};
    std::array<double, dimension_count> smoothed_rates{};
    bool closed_once = false;
};

/// One organisation's limits as one entry keeps them.
///
/// While a total of the fleet is known, the entry admits the share of its own requests that the
/// fleet's limit is of the fleet's demand. What the fleet admitted over or under the limit is
/// carried on as a balance and evened out, so that errors of the lagging total don't add up.
/// Without a total the entry admits its fixed part of the limit, one by the number of listed
/// entries: the parts of entries that cannot hear each other add up to the limit.
class organisation_limiter {
public:
    /// `phase`, 0 to 1, is where the first admitted request of a thinned sequence lies. It differs
    /// between entries: else all of them would admit their first request, or none would.
    organisation_limiter(common::organisation_id organisation, double phase);

    auto set_limits(amounts per_minute) -> void { this->limit = per_minute; }

    /// Counts the request and decides. `listed` is the number of listed entries.
    auto admit(amounts expected, std::size_t listed, common::time_point now)
        -> common::result<void>;

    auto reconcile(amounts expected, amounts used) -> void;

    /// Ends a period of counting; call it before `own_row`, every report period.
    auto close_period(common::time_point now) -> void;

    /// This entry's own row: its smoothed demand, and what it admitted in the last period.
    [[nodiscard]] auto own_row() const -> messages::limit_demand;

    /// Keeps a row of an entry of the data centre whose demand this entry sums.
    auto keep_entry_row(
        const common::host_id& from, messages::limit_demand row, common::time_point expires)
        -> void;

    /// Keeps the sum of another data centre.
    auto keep_data_centre_row(
        const common::data_centre_id& from, messages::limit_demand row, common::time_point expires)
        -> void;

    /// Takes the fleet's total as valid until `expires`.
    auto set_fleet(messages::limit_demand total, common::time_point expires) -> void;

    /// Sum of the fresh rows of this data centre.
    auto data_centre_row(common::time_point now) -> messages::limit_demand;

    /// Sum of this data centre and the fresh others.
    auto fleet_row(common::time_point now) -> messages::limit_demand;

    /// The total that this entry goes by, if it is fresh.
    [[nodiscard]] auto fleet(common::time_point now) const -> std::optional<messages::limit_demand>;

    /// Brings the balance up to `now`; called every report period.
    auto advance(std::size_t listed, common::time_point now) -> void;

private:
    struct kept_row {
        messages::limit_demand row;
        common::time_point expires;
    };

    /// What part of the requests is admitted, and what limits it.
    struct admitted_part {
        double part = 1.0;
        dimension binding = dimension::requests;
    };

    [[nodiscard]] auto part_of_demand(const messages::limit_demand& known, std::size_t listed) const
        -> admitted_part;
    auto take_from_bucket(amounts expected, double share, double headroom, common::time_point now)
        -> std::optional<dimension>;
    [[nodiscard]] auto refusal(dimension binding, double part, common::time_point now) const
        -> tl::unexpected<common::error>;

    common::organisation_id organisation;
    amounts limit;
    period_meter offered;
    period_meter admitted;
    std::optional<common::time_point> period_start;
    /// Requests owed by thinning; one is admitted when it reaches 1.
    double credit;
    /// What the fleet may still spend (over zero) or has to save, by dimension.
    std::array<double, dimension_count> balance{};
    std::optional<common::time_point> advanced;
    /// This entry's own bucket, against floods that no total shows yet.
    std::array<double, dimension_count> bucket{};
    std::optional<common::time_point> filled;
    std::optional<kept_row> total;
    std::map<common::host_id, kept_row> entry_rows;
    std::map<common::data_centre_id, kept_row> data_centre_rows;
};

} // namespace reedramp::limits
