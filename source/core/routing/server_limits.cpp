#include "routing/server_limits.hpp"

#include <algorithm>
#include <cmath>

namespace reedramp::routing {

namespace {

/// How long a response is reported to peers. All peers receive a report within ten seconds, and a
/// new entry learns of each limited server that responded to anyone in the meantime.
constexpr std::chrono::seconds reported_for{30};

/// Maximum number of limits in one message, 16 bytes each. With more limited servers, each entry
/// reports different ones.
constexpr std::size_t max_reported = 32;

/// A server that has responded to no entry for this time is gone, or its service is not used.
constexpr std::chrono::minutes retention{5};

/// More servers than the design is for; bounds the memory that peers' reports can make an entry
/// use.
constexpr std::size_t max_servers = 2048;

constexpr double min_change = 0.1;

} // namespace

auto server_limits::note(
    const server_instance& server, std::optional<double> per_second, time_point now) -> limit_change
{
    // Most servers never state a limit.
    if (!per_second && this->statements.empty()) {
        return limit_change::none;
    }
    const auto hash = hash_of(server);
    if (!per_second && !this->statements.contains(hash)) {
        return limit_change::none;
    }
    return this->update(hash, {per_second, now, true});
}

auto server_limits::note_malformed(const server_instance& server) -> bool
{
    return this->malformed_seen.size() < max_servers &&
           this->malformed_seen.insert(hash_of(server)).second;
}

auto server_limits::apply_report(const limit_report& report, time_point now) -> limit_change
{
    return this->update(report.server, {report.per_second, now - report.age, false});
}

auto server_limits::update(std::uint64_t server, const statement& newest) -> limit_change
{
    const auto found = this->statements.find(server);
    const bool is_new = found == this->statements.end();
    if (is_new && (!newest.per_second || this->statements.size() >= max_servers)) {
        return limit_change::none;
    }
    if (!is_new && newest.said_at <= found->second.said_at) {
        return limit_change::none;
    }
    auto& known = this->statements[server];
    const auto before = known.per_second;
    const auto last_announced = known.last_announced;
    known = newest;
    known.last_announced = last_announced;
    this->limited += known.per_second.has_value() ? 1 : 0;
    this->limited -= before.has_value() ? 1 : 0;
    if (!known.per_second) {
        return before ? limit_change::lifted : limit_change::none;
    }
    const bool has_changed =
        std::abs(*known.per_second - last_announced) > min_change * last_announced;
    if (before && !has_changed) {
        return limit_change::none;
    }
    known.last_announced = *known.per_second;
    return before ? limit_change::changed : limit_change::imposed;
}

auto server_limits::make_reports(time_point now) const -> std::vector<limit_report>
{
    std::vector<limit_report> reports;
    for (const auto& [server, one] : this->statements) {
        if (one.is_own && now - one.said_at < reported_for) {
            const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - one.said_at);
            reports.push_back({server, one.per_second, age});
        }
    }
    std::ranges::sort(reports, {}, &limit_report::age);
    reports.resize(std::min(reports.size(), max_reported));
    return reports;
}

auto server_limits::per_second(const server_instance& server) const -> std::optional<double>
{
    if (!this->has_any()) {
        return std::nullopt;
    }
    const auto found = this->statements.find(hash_of(server));
    return found == this->statements.end() ? std::nullopt : found->second.per_second;
}

auto server_limits::forget_old(time_point now) -> void
{
    std::erase_if(this->statements, [this, now](const auto& item) {
        const bool is_old = now - item.second.said_at > retention;
        this->limited -= is_old && item.second.per_second.has_value() ? 1 : 0;
        return is_old;
    });
}

} // namespace reedramp::routing
