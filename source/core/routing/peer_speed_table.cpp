#include "routing/peer_speed_table.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::routing {

namespace {

constexpr std::chrono::seconds row_lifetime{60};
/// Bounds of a reported ratio. They are wider than those of the estimate, which is made from
/// several rows.
constexpr double min_reported = 0.1;
constexpr double max_reported = 10.0;

} // namespace

auto next_speed_reports(
    const std::map<common::service_name, server_speed_tracker>& speeds, std::uint64_t after)
    -> std::vector<speed_report>
{
    std::vector<speed_report> all;
    for (const auto& [service, tracker] : speeds) {
        tracker.add_reports(all);
    }
    const auto count = std::min(all.size(), max_reported_speeds);
    // Unsigned differences wrap around, which makes a ring of the hashes.
    std::ranges::partial_sort(
        all, all.begin() + static_cast<std::ptrdiff_t>(count), {}, [after](const auto& one) {
            return one.server - after - 1;
        });
    all.resize(count);
    return all;
}

auto peer_speed_table::apply_reports(
    const common::host_id& peer, const std::vector<speed_report>& rows, time_point now) -> void
{
    this->expire(now);
    const auto peer_hash = std::hash<common::host_id>{}(peer);
    for (const auto& one : rows) {
        if (one.samples == 0 || !std::isfinite(one.slowness) || one.slowness <= 0.0) {
            continue;
        }
        const auto log_ratio = std::log(std::clamp(one.slowness, min_reported, max_reported));
        const auto samples = std::min(static_cast<double>(one.samples), max_pace_samples);
        this->set(one.server, {peer_hash, now + row_lifetime, {log_ratio, samples}});
    }
}

auto peer_speed_table::set(std::uint64_t server, const row& newest) -> void
{
    auto& known = this->servers[server];
    auto found = std::ranges::find(known.rows, newest.peer, &row::peer);
    if (found == known.rows.end()) {
        found = known.rows.insert(found, {newest.peer, newest.expires_at, {}});
    }
    known.weighted_sum += newest.reported.log_ratio * newest.reported.samples -
                          found->reported.log_ratio * found->reported.samples;
    known.samples += newest.reported.samples - found->reported.samples;
    *found = newest;
    this->expiries.push_back({newest.expires_at, server, newest.peer});
}

auto peer_speed_table::expire(time_point now) const -> void
{
    for (; !this->expiries.empty() && this->expiries.front().at <= now;
         this->expiries.pop_front()) {
        const auto due = this->expiries.front();
        const auto known = this->servers.find(due.server);
        if (known == this->servers.end()) {
            continue;
        }
        auto& [rows, weighted_sum, samples] = known->second;
        const auto found = std::ranges::find(rows, due.peer, &row::peer);
        if (found == rows.end() || found->expires_at > now) {
            continue;
        }
        weighted_sum -= found->reported.log_ratio * found->reported.samples;
        samples -= found->reported.samples;
        rows.erase(found);
        if (rows.empty()) {
            this->servers.erase(known);
        }
    }
}

auto peer_speed_table::pace_of(const server_instance& server, time_point now) const -> pace
{
    this->expire(now);
    const auto found = this->servers.find(hash_of(server));
    if (found == this->servers.end()) {
        return {};
    }
    return {found->second.weighted_sum / found->second.samples, found->second.samples};
}

auto peer_speed_table::forget_if(const std::function<auto(std::uint64_t server)->bool>& is_gone)
    -> void
{
    std::erase_if(this->servers, [&is_gone](const auto& item) { return is_gone(item.first); });
}

} // namespace reedramp::routing
