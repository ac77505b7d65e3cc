#include "limits/organisation_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace reedramp::limits {

namespace {

using per_dimension = std::array<double, dimension_count>;

constexpr double seconds_per_minute = 60.0;

/// Weight of the newest period in the smoothed demand. A larger one follows a change earlier, a
/// smaller one is less noisy.
constexpr double newest_period_weight = 0.3;

/// A balance is evened out over about this time.
constexpr double balance_seconds = 10.0;

/// Unused limit that may be spent later, and overspent limit that is still paid back.
constexpr double most_saved_seconds = 2.0;
constexpr double most_owed_seconds = 60.0;

/// An entry's bucket holds its share of this time, or this many requests if that is more.
constexpr double bucket_seconds = 2.0;
constexpr double bucket_requests = 3.0;

/// By how much an entry may pass its known share, since demand moves between entries.
constexpr double bucket_headroom = 2.0;

constexpr double longest_retry_seconds = 60.0;

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

/// Limit that the entries heard of may spend; the rest stays with those that are silent.
auto heard_part(std::uint32_t heard, std::size_t listed) -> double
{
    const auto all = std::max<std::size_t>(listed, 1);
    return std::min(1.0, static_cast<double>(heard) / static_cast<double>(all));
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
    const auto weight = this->closed_once ? newest_period_weight : 1.0;
    this->closed_once = true;
    for (std::size_t index = 0; index < dimension_count; ++index) {
        this->last_rates[index] = this->counts[index] / minutes;
        this->smoothed_rates[index] +=
            weight * (this->last_rates[index] - this->smoothed_rates[index]);
    }
    this->counts = {};
}

organisation_limiter::organisation_limiter(common::organisation_id name, double phase)
    : organisation(std::move(name)), credit(phase)
{
}

auto organisation_limiter::admit(amounts expected, std::size_t listed, common::time_point now)
    -> common::result<void>
{
    this->offered.add(expected);
    const auto known = this->fleet(now);
    const auto equal_share = 1.0 / static_cast<double>(std::max<std::size_t>(listed, 1));
    if (!known) {
        if (const auto binding = this->take_from_bucket(expected, equal_share, 1.0, now)) {
            return this->refusal(*binding, equal_share, now);
        }
        this->admitted.add(expected);
        return {};
    }
    const auto allowed = this->part_of_demand(*known, listed);
    this->credit = std::min(this->credit + allowed.part, 2.0);
    if (this->credit < 1.0) {
        return this->refusal(allowed.binding, allowed.part, now);
    }
    const auto demand = std::max(known->requests_per_minute, 1.0);
    const auto own = this->offered.smoothed().requests;
    const auto share = std::clamp(own / demand, equal_share, 1.0);
    if (const auto binding = this->take_from_bucket(expected, share, bucket_headroom, now)) {
        return this->refusal(*binding, allowed.part, now);
    }
    this->credit -= 1.0;
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

auto organisation_limiter::close_period(common::time_point now) -> void
{
    const auto begun = std::exchange(this->period_start, now);
    if (begun && now > *begun) {
        const auto minutes = to_seconds(now - *begun) / seconds_per_minute;
        this->offered.close(minutes);
        this->admitted.close(minutes);
    }
}

auto organisation_limiter::own_row() const -> messages::limit_demand
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

auto organisation_limiter::keep_entry_row(
    const common::host_id& from, messages::limit_demand row, common::time_point expires) -> void
{
    this->entry_rows[from] = {std::move(row), expires};
}

auto organisation_limiter::keep_data_centre_row(
    const common::data_centre_id& from, messages::limit_demand row, common::time_point expires)
    -> void
{
    this->data_centre_rows[from] = {std::move(row), expires};
}

auto organisation_limiter::set_fleet(messages::limit_demand row, common::time_point expires) -> void
{
    this->total = kept_row{std::move(row), expires};
}

auto organisation_limiter::data_centre_row(common::time_point now) -> messages::limit_demand
{
    std::erase_if(this->entry_rows, [now](const auto& item) { return item.second.expires < now; });
    messages::limit_demand sum;
    sum.organisation = this->organisation;
    sum.scope = messages::demand_scope::data_centre;
    sum.entries = 0;
    for (const auto& [host, kept] : this->entry_rows) {
        add_row(sum, kept.row);
    }
    return sum;
}

auto organisation_limiter::fleet_row(common::time_point now) -> messages::limit_demand
{
    std::erase_if(
        this->data_centre_rows, [now](const auto& item) { return item.second.expires < now; });
    auto sum = this->data_centre_row(now);
    sum.scope = messages::demand_scope::fleet;
    for (const auto& [data_centre, kept] : this->data_centre_rows) {
        add_row(sum, kept.row);
    }
    return sum;
}

auto organisation_limiter::fleet(common::time_point now) const
    -> std::optional<messages::limit_demand>
{
    if (!this->total || this->total->expires < now) {
        return std::nullopt;
    }
    return this->total->row;
}

auto organisation_limiter::advance(std::size_t listed, common::time_point now) -> void
{
    const auto known = this->fleet(now);
    const auto last = std::exchange(this->advanced, now);
    if (!known || !last) {
        return;
    }
    const auto minutes = to_seconds(now - *last) / seconds_per_minute;
    const auto part = heard_part(known->entries, listed);
    const auto spent = admitted_of(*known);
    const auto limits = this->limit.values();
    for (std::size_t index = 0; index < dimension_count; ++index) {
        const auto per_second = limits[index] / seconds_per_minute;
        const auto next = this->balance[index] + (part * limits[index] - spent[index]) * minutes;
        this->balance[index] =
            std::clamp(next, -per_second * most_owed_seconds, per_second * most_saved_seconds);
    }
}

auto organisation_limiter::part_of_demand(
    const messages::limit_demand& known, std::size_t listed) const -> admitted_part
{
    admitted_part least;
    const auto limits = this->limit.values();
    const auto own = this->offered.smoothed().values();
    const auto demand = offered_of(known);
    const auto part = heard_part(known.entries, listed);
    for (std::size_t index = 0; index < dimension_count; ++index) {
        const auto wanted = std::max(demand[index], own[index]);
        if (limits[index] <= 0.0 || wanted <= 0.0) {
            continue;
        }
        const auto even_out = this->balance[index] * seconds_per_minute / balance_seconds;
        const auto allowed = std::max(0.0, part * limits[index] + even_out) / wanted;
        if (allowed < least.part) {
            least = {allowed, static_cast<dimension>(index)};
        }
    }
    return least;
}

auto organisation_limiter::take_from_bucket(
    amounts expected, double share, double headroom, common::time_point now)
    -> std::optional<dimension>
{
    const auto elapsed = this->filled ? to_seconds(now - *this->filled) : 0.0;
    const auto first = !this->filled;
    this->filled = now;
    const auto limits = this->limit.values();
    const auto cost = expected.values();
    std::optional<dimension> empty;
    for (std::size_t index = 0; index < dimension_count; ++index) {
        const auto per_second = limits[index] * share * headroom / seconds_per_minute;
        const auto most = std::max(
            per_second * bucket_seconds, (headroom > 1.0 ? bucket_requests : 1.0) * cost[index]);
        auto& level = this->bucket[index];
        level = first ? most : std::min(level + per_second * elapsed, most);
        if (limits[index] > 0.0 && level < cost[index]) {
            empty = static_cast<dimension>(index);
        }
    }
    if (empty) {
        return empty;
    }
    for (std::size_t index = 0; index < dimension_count; ++index) {
        this->bucket[index] -= cost[index];
    }
    return std::nullopt;
}

auto organisation_limiter::refusal(dimension binding, double part, common::time_point now) const
    -> tl::unexpected<common::error>
{
    constexpr std::array codes{
        common::result_code::limit_requests,
        common::result_code::limit_tokens,
        common::result_code::limit_money};
    auto why = common::make_error(codes.at(static_cast<std::size_t>(binding)));
    // If every refused request comes back after 1/part seconds, the limit is just met.
    const auto wait = std::min(1.0 / std::max(part, 1e-3), longest_retry_seconds);
    why.retry_at =
        now + std::chrono::duration_cast<common::duration>(std::chrono::duration<double>(wait));
    return tl::unexpected<common::error>(std::move(why));
}

} // namespace reedramp::limits
