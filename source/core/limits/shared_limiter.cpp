#include "limits/shared_limiter.hpp"

#include <functional>
#include <string>
#include <utility>

#include "membership/rendezvous.hpp"

namespace reedramp::limits {

namespace {

/// How much earlier a received total expires than a stored row.
constexpr auto total_expires_earlier = std::chrono::seconds(1);

/// The entry of `hosts`, those of one data centre, that sums an organisation's demand. `hosts` must
/// not be empty.
auto summing_entry(
    const common::organisation_id& organisation, const std::vector<common::host_id>& hosts)
    -> const common::host_id&
{
    const auto* best = &hosts.front();
    std::uint64_t best_weight = 0;
    for (const auto& host : hosts) {
        const auto weight = membership::weight(organisation.value(), host.value());
        if (weight > best_weight) {
            best = &host;
            best_weight = weight;
        }
    }
    return *best;
}

/// A pseudo-random number in [0, 1) for this process and organisation.
auto phase_of(std::uint64_t seed, const common::organisation_id& organisation) -> double
{
    constexpr double scale = 1.0 / 18446744073709551616.0; // 2^-64
    const auto weight = membership::weight(organisation.value(), std::to_string(seed));
    return static_cast<double>(weight) * scale;
}

} // namespace

shared_limiter::shared_limiter(shared_limiter_settings initial, std::uint64_t initial_seed)
    : settings(std::move(initial)), seed(initial_seed)
{
    this->set_entries({});
}

auto shared_limiter::set_limits(const std::map<common::organisation_id, amounts>& per_minute)
    -> void
{
    this->limiters.for_each_shard([&per_minute](auto& shard) {
        std::erase_if(
            shard, [&per_minute](const auto& item) { return !per_minute.contains(item.first); });
    });
    for (const auto& item : per_minute) {
        const auto& name = item.first;
        const auto phase = phase_of(this->seed, name);
        this->limiters.with_shard(name, [&](auto& shard) {
            const auto place = shard.try_emplace(name, name, phase, this->settings.started).first;
            place->second.set_limits(item.second);
        });
    }
}

auto shared_limiter::set_entries(std::vector<entry_peer> entries) -> void
{
    auto next = std::make_shared<directory>();
    entries.push_back({this->settings.self, this->settings.data_centre});
    for (auto& entry : entries) {
        if (next->data_centres.emplace(entry.host, entry.data_centre).second) {
            next->by_data_centre[entry.data_centre].push_back(entry.host);
        }
    }
    const std::lock_guard guard(this->directory_lock);
    this->peers = std::move(next);
}

auto shared_limiter::admit(
    const common::organisation_id& organisation, amounts expected, common::time_point now)
    -> common::result<void>
{
    const auto all = this->listed();
    return this->limiters.with_shard(organisation, [&](auto& shard) -> common::result<void> {
        const auto found = shard.find(organisation);
        if (found == shard.end()) {
            return {};
        }
        return found->second.admit(expected, all->data_centres.size(), now);
    });
}

auto shared_limiter::reconcile(
    const common::organisation_id& organisation, amounts expected, amounts used) -> void
{
    this->limiters.with_shard(organisation, [&](auto& shard) {
        const auto found = shard.find(organisation);
        if (found != shard.end()) {
            found->second.reconcile(expected, used);
        }
    });
}

auto shared_limiter::make_reports(common::time_point now) -> std::vector<demand_report>
{
    const auto all = this->listed();
    std::map<common::host_id, std::vector<messages::limit_demand>> by_host;
    this->limiters.for_each_shard([&](auto& shard) {
        for (auto& [organisation, item] : shard) {
            // A new process would report no demand, and a fleet that restarted would take the whole
            // limit as unused.
            if (!item.close_period(now)) {
                continue;
            }
            for (auto& report : this->make_reports_of(item, organisation, *all, now)) {
                auto& rows = by_host[report.to];
                rows.insert(rows.end(), report.rows.begin(), report.rows.end());
            }
            item.update_balance(all->data_centres.size(), now);
        }
    });
    std::vector<demand_report> reports;
    reports.reserve(by_host.size());
    for (auto& [host, rows] : by_host) {
        reports.push_back({host, std::move(rows)});
    }
    return reports;
}

auto shared_limiter::on_report(
    const common::host_id& from,
    std::span<const messages::limit_demand> rows,
    common::time_point now) -> std::vector<messages::limit_demand>
{
    const auto all = this->listed();
    std::vector<messages::limit_demand> answer;
    for (const auto& row : rows) {
        auto added = this->apply_row(from, row, *all, now);
        answer.insert(answer.end(), added.begin(), added.end());
    }
    return answer;
}

auto shared_limiter::on_answer(
    const common::host_id& from,
    std::span<const messages::limit_demand> rows,
    common::time_point now) -> void
{
    const auto all = this->listed();
    for (const auto& row : rows) {
        this->apply_row(from, row, *all, now);
    }
}

auto shared_limiter::listed() -> std::shared_ptr<const directory>
{
    const std::lock_guard guard(this->directory_lock);
    return this->peers;
}

auto shared_limiter::make_reports_of(
    organisation_limiter& item,
    const common::organisation_id& organisation,
    const directory& all,
    common::time_point now) -> std::vector<demand_report>
{
    const auto& own = all.by_data_centre.at(this->settings.data_centre);
    const auto& summing = summing_entry(organisation, own);
    if (summing != this->settings.self) {
        return {{summing, {item.make_entry_row()}}};
    }
    item.store_entry_row(
        this->settings.self, item.make_entry_row(), now + this->settings.row_lifetime);
    item.set_fleet_total(item.make_fleet_row(now), now + this->settings.row_lifetime);
    std::vector<demand_report> reports;
    for (const auto& [data_centre, hosts] : all.by_data_centre) {
        if (data_centre != this->settings.data_centre) {
            reports.push_back(
                {summing_entry(organisation, hosts), {item.make_data_centre_row(now)}});
        }
    }
    return reports;
}

auto shared_limiter::apply_row(
    const common::host_id& from,
    const messages::limit_demand& row,
    const directory& all,
    common::time_point now) -> std::vector<messages::limit_demand>
{
    std::vector<messages::limit_demand> answer;
    const auto sender = all.data_centres.find(from);
    const auto expires = now + this->settings.row_lifetime;
    this->limiters.with_shard(row.organisation, [&](auto& shard) {
        const auto found = shard.find(row.organisation);
        if (found == shard.end() || sender == all.data_centres.end()) {
            return;
        }
        auto& item = found->second;
        switch (row.scope) {
        case messages::demand_scope::entry:
            item.store_entry_row(from, row, expires);
            answer.push_back(item.make_fleet_row(now));
            break;
        case messages::demand_scope::data_centre:
            item.store_data_centre_row(sender->second, row, expires);
            break;
        case messages::demand_scope::fleet:
            item.set_fleet_total(row, expires - total_expires_earlier);
            break;
        }
    });
    return answer;
}

} // namespace reedramp::limits
