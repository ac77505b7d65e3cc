#include "routing/session_table.hpp"

#include <algorithm>

namespace reedramp::routing {

auto session_table::note_sent(
    const common::service_name& service,
    std::uint64_t session,
    const common::version_id& version,
    time_point now) -> void
{
    auto& use = this->sessions[{service, session}];
    use.version = version;
    use.in_flight += 1;
    this->sweep(now);
}

auto session_table::note_ended(
    const common::service_name& service, std::uint64_t session, time_point now) -> void
{
    const auto found = this->sessions.find({service, session});
    if (found == this->sessions.end()) {
        return;
    }
    auto& use = found->second;
    use.in_flight -= use.in_flight > 0 ? 1 : 0;
    // Counted from the end, since a stream may take longer than the pauses within a session.
    use.until = now + this->time;
}

auto session_table::version_of(
    const common::service_name& service, std::uint64_t session, time_point now) const
    -> std::optional<common::version_id>
{
    const auto found = this->sessions.find({service, session});
    if (found == this->sessions.end() || !found->second.is_active(now)) {
        return std::nullopt;
    }
    return found->second.version;
}

auto session_table::on_other_versions(
    const common::service_name& service,
    const common::version_id& target,
    const std::function<auto(std::uint64_t session)->bool>& is_meant,
    std::size_t most,
    time_point now) const -> std::vector<session_report>
{
    std::vector<session_report> reports;
    const auto first = this->sessions.lower_bound({service, 0});
    for (auto item = first; item != this->sessions.end() && reports.size() < most; ++item) {
        const auto& [key, use] = *item;
        if (key.first != service) {
            break;
        }
        if (use.version == target || !use.is_active(now) || !is_meant(key.second)) {
            continue;
        }
        const auto left = use.in_flight > 0 ? this->time : use.until - now;
        reports.push_back(
            {key.second, std::chrono::duration_cast<std::chrono::milliseconds>(left)});
    }
    return reports;
}

auto session_table::count_on_other_versions(
    const common::service_name& service, const common::version_id& target, time_point now) const
    -> std::size_t
{
    const auto lasts_elsewhere = [&](const auto& item) {
        const auto& [key, use] = item;
        return key.first == service && use.version != target && use.is_active(now);
    };
    return static_cast<std::size_t>(std::ranges::count_if(this->sessions, lasts_elsewhere));
}

auto session_table::apply_reports(
    const common::service_name& service, const std::vector<session_report>& reports, time_point now)
    -> void
{
    for (const auto& one : reports) {
        auto& until = this->peer_sessions[{service, one.session}];
        until = std::max(until, now + one.left);
    }
}

auto session_table::is_old_at_peer(
    const common::service_name& service, std::uint64_t session, time_point now) const -> bool
{
    const auto found = this->peer_sessions.find({service, session});
    return found != this->peer_sessions.end() && found->second > now;
}

auto session_table::sweep(time_point now) -> void
{
    if (now < this->swept_at + this->time) {
        return;
    }
    this->swept_at = now;
    std::erase_if(this->sessions, [now](const auto& item) { return !item.second.is_active(now); });
    std::erase_if(this->peer_sessions, [now](const auto& item) { return item.second <= now; });
}

} // namespace reedramp::routing
