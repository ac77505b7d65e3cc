#include "limits/organisation_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace reedramp::limits {

namespace {

using per_dimension = std::array<double, dimension_count>;

constexpr double seconds_per_minute = 60.0;

/// Weight of the newest period in the smoothed demand. A larger weight reacts faster to changes, a
/// smaller one is less noisy.
constexpr double newest_period_weight = 0.3;

/// A balance is corrected over about this time.
constexpr double balance_seconds = 10.0;

/// Upper bounds of the balance, as time at the full limit: unused amounts that may be spent later,
/// and excess amounts that are compensated.
constexpr double max_credit_seconds = 2.0;
constexpr double max_debt_seconds = 60.0;

/// Capacity of an entry's bucket: its share of the limit over this time, or this many requests,
/// whichever is larger.
constexpr double bucket_seconds = 2.0;
constexpr double bucket_requests = 3.0;

/// Factor by which an entry may exceed its known share, because demand shifts between entries.
constexpr double bucket_headroom = 2.0;

constexpr double max_retry_seconds = 60.0;

auto to_seconds(common::duration span) -> double
{
    return std::chrono::duration<double>(span).count();
}

auto offered_of(const messages::limit_demand& row) -> per_dimension
{
    return {row.requests_per_minute, row.tokens_per_minute, row.money_per_minute};
}

auto admitted_of(const messages::limit_demand& row) -> per_dimension
{
    return {
        row.admitted_requests_per_minute,
        row.admitted_tokens_per_minute,
        row.admitted_money_per_minute};
}

auto add_row(messages::limit_demand& sum, const messages::limit_demand& row) -> void
{
    sum.entries += row.entries;
    sum.requests_per_minute += row.requests_per_minute;
    sum.tokens_per_minute += row.tokens_per_minute;
    sum.money_per_minute += row.money_per_minute;
    sum.admitted_requests_per_minute += row.admitted_requests_per_minute;
    sum.admitted_tokens_per_minute += row.admitted_tokens_per_minute;
    sum.admitted_money_per_minute += row.admitted_money_per_minute;
}

/// Share of the limit available to the entries that report; the remainder is reserved for the
/// silent ones.
auto reporting_share(std::uint32_t reporting, std::size_t listed) -> double
{
    const auto all = std::max<std::size_t>(listed, 1);
    return std::min(1.0, static_cast<double>(reporting) / static_cast<double>(all));
}

} // namespace

auto period_meter::add(amounts added) -> void
{
    const auto values = added.values();
    for (std::size_t index = 0; index < dimension_count; ++index) {
        this->counts[index] += values[index];
    }
}

auto period_meter::close(double minutes) -> void
{
    const auto weight = this->has_closed ? newest_period_weight : 1.0;
    this->has_closed = true;
    for (std::size_t index = 0; index < dimension_count; ++index) {
        this->last_rates[index] = this->counts[index] / minutes;
        this->smoothed_rates[index] +=
            weight * (this->last_rates[index] - this->smoothed_rates[index]);
    }
    this->counts = {};
}

organisation_limiter::organisation_limiter(
    common::organisation_id name, double phase, common::time_point started)
    : organisation(std::move(name)), thinning_credit(phase), bucket_time(started)
{
}

auto organisation_limiter::admit(amounts expected, std::size_t listed, common::time_point now)
    -> common::result<void>
{
    this->offered.add(expected);
    const auto total = this->fresh_total(now);
    const auto equal_share = 1.0 / static_cast<double>(std::max<std::size_t>(listed, 1));
    if (!total) {
        if (const auto binding = this->take_from_bucket(expected, equal_share, 1.0, now)) {
            return this->refusal(*binding, equal_share, now);
        }
        this->admitted.add(expected);
        return {};
    }
    const auto allowed = this->admission_ratio(*total, listed);
    if (allowed.ratio >= 1.0 && !std::exchange(this->has_seen_room, true)) {
        this->bucket.fill(std::numeric_limits<double>::infinity()); // Reduced to its capacity.
    }
    this->thinning_credit = std::min(this->thinning_credit + allowed.ratio, 2.0);
    if (this->thinning_credit < 1.0) {
        return this->refusal(allowed.binding, allowed.ratio, now);
    }
    const auto demand = std::max(total->requests_per_minute, 1.0);
    const auto own_demand = this->offered.smoothed().requests;
    const auto share = std::clamp(own_demand / demand, equal_share, 1.0);
    // Used up also if the bucket refuses. Otherwise each entry would save a request while all are
    // flooded, to be admitted beyond the limit later.
    this->thinning_credit -= 1.0;
    if (const auto binding = this->take_from_bucket(expected, share, bucket_headroom, now)) {
        return this->refusal(*binding, allowed.ratio, now);
    }
    this->admitted.add(expected);
    return {};
}

auto organisation_limiter::reconcile(amounts expected, amounts used) -> void
{
    const amounts difference{
        used.requests - expected.requests,
        used.tokens - expected.tokens,
        used.money - expected.money};
    this->offered.add(difference);
    this->admitted.add(difference);
}

auto organisation_limiter::close_period(common::time_point now) -> bool
{
    const auto begun = std::exchange(this->period_start, now);
    if (begun && now > *begun) {
        const auto minutes = to_seconds(now - *begun) / seconds_per_minute;
        this->offered.close(minutes);
        this->admitted.close(minutes);
    }
    return begun.has_value();
}

auto organisation_limiter::make_entry_row() const -> messages::limit_demand
{
    const auto demand = this->offered.smoothed();
    const auto spent = this->admitted.last();
    messages::limit_demand row;
    row.organisation = this->organisation;
    row.requests_per_minute = demand.requests;
    row.tokens_per_minute = demand.tokens;
    row.money_per_minute = demand.money;
    row.admitted_requests_per_minute = spent.requests;
    row.admitted_tokens_per_minute = spent.tokens;
    row.admitted_money_per_minute = spent.money;
    return row;
}

auto organisation_limiter::store_entry_row(
    const common::host_id& from, messages::limit_demand row, common::time_point expires) -> void
{
    this->entry_rows[from] = {std::move(row), expires};
}

auto organisation_limiter::store_data_centre_row(
    const common::data_centre_id& from, messages::limit_demand row, common::time_point expires)
    -> void
{
    this->data_centre_rows[from] = {std::move(row), expires};
}

auto organisation_limiter::set_fleet_total(messages::limit_demand row, common::time_point expires)
    -> void
{
    this->fleet_total = stored_row{std::move(row), expires};
}

auto organisation_limiter::make_data_centre_row(common::time_point now) -> messages::limit_demand
{
    std::erase_if(this->entry_rows, [now](const auto& item) { return item.second.expires < now; });
    messages::limit_demand sum;
    sum.organisation = this->organisation;
    sum.scope = messages::demand_scope::data_centre;
    sum.entries = 0;
    for (const auto& [host, stored] : this->entry_rows) {
        add_row(sum, stored.row);
    }
    return sum;
}

auto organisation_limiter::make_fleet_row(common::time_point now) -> messages::limit_demand
{
    std::erase_if(
        this->data_centre_rows, [now](const auto& item) { return item.second.expires < now; });
    auto sum = this->make_data_centre_row(now);
    sum.scope = messages::demand_scope::fleet;
    for (const auto& [data_centre, stored] : this->data_centre_rows) {
        add_row(sum, stored.row);
    }
    return sum;
}

auto organisation_limiter::fresh_total(common::time_point now) const
    -> std::optional<messages::limit_demand>
{
    if (!this->fleet_total || this->fleet_total->expires < now) {
        return std::nullopt;
    }
    return this->fleet_total->row;
}

auto organisation_limiter::update_balance(std::size_t listed, common::time_point now) -> void
{
    const auto total = this->fresh_total(now);
    const auto last = std::exchange(this->balance_time, now);
    if (!total || !last) {
        return;
    }
    const auto minutes = to_seconds(now - *last) / seconds_per_minute;
    const auto reporting = reporting_share(total->entries, listed);
    const auto spent = admitted_of(*total);
    const auto limits = this->limit.values();
    for (std::size_t index = 0; index < dimension_count; ++index) {
        const auto per_second = limits[index] / seconds_per_minute;
        const auto next =
            this->balance[index] + (reporting * limits[index] - spent[index]) * minutes;
        this->balance[index] =
            std::clamp(next, -per_second * max_debt_seconds, per_second * max_credit_seconds);
    }
}

auto organisation_limiter::admission_ratio(
    const messages::limit_demand& total, std::size_t listed) const -> admission
{
    admission least;
    const auto limits = this->limit.values();
    const auto own_demand = this->offered.smoothed().values();
    const auto demand = offered_of(total);
    const auto reporting = reporting_share(total.entries, listed);
    for (std::size_t index = 0; index < dimension_count; ++index) {
        const auto demanded = std::max(demand[index], own_demand[index]);
        if (limits[index] <= 0.0 || demanded <= 0.0) {
            continue;
        }
        const auto correction = this->balance[index] * seconds_per_minute / balance_seconds;
        const auto ratio = std::max(0.0, reporting * limits[index] + correction) / demanded;
        if (ratio < least.ratio) {
            least = {ratio, static_cast<dimension>(index)};
        }
    }
    return least;
}

auto organisation_limiter::take_from_bucket(
    amounts expected, double share, double headroom, common::time_point now)
    -> std::optional<dimension>
{
    const auto elapsed = to_seconds(now - this->bucket_time);
    this->bucket_time = now;
    const auto limits = this->limit.values();
    const auto cost = expected.values();
    std::optional<dimension> exhausted;
    for (std::size_t index = 0; index < dimension_count; ++index) {
        const auto per_second = limits[index] * share * headroom / seconds_per_minute;
        const auto most = std::max(
            per_second * bucket_seconds, (headroom > 1.0 ? bucket_requests : 1.0) * cost[index]);
        auto& level = this->bucket[index];
        level = std::min(level + per_second * elapsed, most);
        if (limits[index] > 0.0 && level < cost[index]) {
            exhausted = static_cast<dimension>(index);
        }
    }
    if (exhausted) {
        return exhausted;
    }
    for (std::size_t index = 0; index < dimension_count; ++index) {
        this->bucket[index] -= cost[index];
    }
    return std::nullopt;
}

auto organisation_limiter::refusal(dimension binding, double ratio, common::time_point now) const
    -> tl::unexpected<common::error>
{
    constexpr std::array codes{
        common::result_code::limit_requests,
        common::result_code::limit_tokens,
        common::result_code::limit_money};
    auto why = common::make_error(codes.at(static_cast<std::size_t>(binding)));
    // If every refused request is retried after 1/ratio seconds, the limit is just met.
    const auto wait = std::min(1.0 / std::max(ratio, 1e-3), max_retry_seconds);
    why.retry_at =
        now + std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(wait));
    return tl::unexpected<common::error>(std::move(why));
}

} // namespace reedramp::limits
