#include "routing/server_load_tracker.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "placement/affinity.hpp"

namespace reedramp::routing {

namespace {

/// Mean time for which a host stays slow or fast.
constexpr std::chrono::duration<double> host_state_time{0.6};
/// Time in which most short requests that a statement counted have ended.
constexpr std::chrono::duration<double> load_state_time{0.5};
/// Age at which neither has any weight left.
constexpr std::chrono::seconds max_age{4};

/// Bounds of a stated slowdown: those known are between 1 and 2.5. A server that states an extreme
/// value at all times must neither attract all requests nor lose all of them.
constexpr double min_slowdown = 0.7;
constexpr double max_slowdown = 5.0;
/// Weight of the newest statement in a service's exponentially weighted means.
constexpr double newest_weight = 0.02;

constexpr double max_requests_per_slot = 2.0;
/// Share of a request's work that remains on average while it is in flight.
constexpr double mean_remaining = 0.5;

/// Slowdowns that differ less from 1.0 are not worth a row in a message.
constexpr double unusual_slowdown = 0.1;
constexpr std::chrono::milliseconds reported_for{300};
constexpr std::size_t max_reported = 8;

/// More servers than the design is for; bounds the memory that servers and peers can make an entry
/// use.
constexpr std::size_t max_servers = 2048;

/// Returns 1 for a new statement, falling to 0 as it ages.
auto weight_at(common::duration age, std::chrono::duration<double> time_constant) -> double
{
    const std::chrono::duration<double> passed = std::max(age, common::duration::zero());
    return passed >= max_age ? 0.0 : std::exp(-passed / time_constant);
}

/// As `hash_of` the instance, without hashing the text of the id again.
auto instance_hash(const registration& server) -> std::uint64_t
{
    const auto id_hash = id_hash_of(server);
    return server.started_at == start_time{0}
               ? id_hash
               : placement::affinity_weight(id_hash, server.started_at.value());
}

/// Requests at the server. Bounded, so that one absurd statement does not dominate the mean.
auto requests_of(const stated_load& load) -> double
{
    return std::min(
        static_cast<double>(load.running + load.waiting),
        max_requests_per_slot * static_cast<double>(load.slots));
}

auto bounded(double slowdown) -> double
{
    return std::clamp(slowdown, min_slowdown, max_slowdown);
}

} // namespace

auto server_load_tracker::note(
    const common::service_name& service, const load_statement& statement, bool is_refusal) -> bool
{
    const auto found = this->statements.find(statement.server.id);
    const bool is_new = found == this->statements.end();
    if (is_new && this->statements.size() >= max_servers) {
        return false;
    }
    if (!is_new) {
        const auto& known = found->second;
        const bool is_same = statement.server.started_at == known.server.started_at;
        const bool is_earlier = statement.server.started_at < known.server.started_at;
        if (is_earlier || (is_same && statement.at < known.at)) {
            return false;
        }
    }
    auto& newest = this->statements[statement.server.id];
    newest = statement;
    if (is_refusal) {
        newest.load.running = std::max(newest.load.running, newest.load.slots);
    }
    if (newest.load.slowdown) {
        newest.load.slowdown = bounded(*newest.load.slowdown);
    }
    this->update_means(service, newest);
    return true;
}

auto server_load_tracker::update_means(
    const common::service_name& service, const load_statement& newest) -> void
{
    const auto [found, is_first] = this->by_service.try_emplace(service);
    auto& means = found->second;
    const auto weight = is_first ? 1.0 : newest_weight;
    means.requests += weight * (requests_of(newest.load) - means.requests);
    means.work += weight * (newest.work - means.work);
    if (newest.load.slowdown) {
        const auto weight_of_slowdown = means.has_slowdown ? newest_weight : 1.0;
        means.slowdown += weight_of_slowdown * (*newest.load.slowdown - means.slowdown);
        means.has_slowdown = true;
    }
}

auto server_load_tracker::note_malformed(const server_instance& server) -> bool
{
    return this->malformed_seen.size() < max_servers && this->malformed_seen.insert(server).second;
}

auto server_load_tracker::find(const common::server_id& server, start_time started_at) const
    -> const load_statement*
{
    const auto found = this->statements.find(server);
    const bool is_known =
        found != this->statements.end() && found->second.server.started_at == started_at;
    return is_known ? &found->second : nullptr;
}

auto server_load_tracker::newest(const server_instance& server) const -> const load_statement*
{
    return this->find(server.id, server.started_at);
}

auto server_load_tracker::newest_slowdown(const registration& server) const
    -> std::optional<slowdown_at>
{
    std::optional<slowdown_at> newest;
    const auto* own = this->find(server.id, server.started_at);
    if (own != nullptr && own->load.slowdown) {
        newest = {*own->load.slowdown, own->at};
    }
    if (!this->reported.empty()) {
        const auto found = this->reported.find(instance_hash(server));
        if (found != this->reported.end() && (!newest || found->second.at > newest->at)) {
            newest = found->second;
        }
    }
    return newest;
}

auto server_load_tracker::current_slowdown(const registration& server, time_point now) const
    -> double
{
    if (this->by_service.empty() && this->reported.empty()) {
        return 1.0;
    }
    const auto means = this->by_service.find(server.service);
    const auto mean = means == this->by_service.end() ? 1.0 : means->second.slowdown;
    const auto newest = this->newest_slowdown(server);
    return newest ? mean + weight_at(now - newest->at, host_state_time) * (newest->factor - mean)
                  : mean;
}

auto server_load_tracker::unknown_work(
    const registration& server, const server_load& known, time_point now) const -> double
{
    const auto means = this->by_service.find(server.service);
    if (means == this->by_service.end()) {
        return 0.0;
    }
    // Without a statement a server counts as the mean. If it counted as known to be idle, servers
    // that answer would look busier than those whose requests all wait.
    auto requests = means->second.requests;
    const auto* stated = this->find(server.id, server.started_at);
    if (stated != nullptr) {
        requests += weight_at(now - stated->at, load_state_time) *
                    (requests_of(stated->load) - means->second.requests);
    }
    // With as many requests again as are known, a server that always states full gets about half as
    // many as the others. One more is for a server that is idle as far as known.
    const auto unknown = std::clamp(requests - known.requests, 0.0, known.requests + 1.0);
    return unknown * mean_remaining * means->second.work;
}

auto server_load_tracker::make_reports(time_point now) const -> std::vector<slowdown_report>
{
    std::vector<slowdown_report> reports;
    for (const auto& [id, one] : this->statements) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - one.at);
        const bool is_unusual =
            one.load.slowdown && std::abs(*one.load.slowdown - 1.0) >= unusual_slowdown;
        if (is_unusual && age < reported_for) {
            reports.push_back({hash_of(one.server), *one.load.slowdown, age});
        }
    }
    std::ranges::sort(reports, {}, &slowdown_report::age);
    reports.resize(std::min(reports.size(), max_reported));
    return reports;
}

auto server_load_tracker::apply_reports(const std::vector<slowdown_report>& reports, time_point now)
    -> void
{
    for (const auto& one : reports) {
        const auto at = now - std::max(one.age, std::chrono::milliseconds{0});
        const bool is_valid = std::isfinite(one.factor) && one.factor > 0.0 && now - at < max_age;
        const auto found = this->reported.find(one.server);
        const bool is_new = found == this->reported.end();
        if (!is_valid || (!is_new && at <= found->second.at)) {
            continue;
        }
        if (is_new && this->reported.size() >= max_servers) {
            this->forget_old_reports(now);
            if (this->reported.size() >= max_servers) {
                return;
            }
        }
        this->reported[one.server] = {bounded(one.factor), at};
    }
}

auto server_load_tracker::forget_old_reports(time_point now) -> void
{
    std::erase_if(
        this->reported, [now](const auto& item) { return now - item.second.at >= max_age; });
}

auto server_load_tracker::forget_if(
    const std::function<auto(const server_instance& server)->bool>& is_gone, time_point now) -> void
{
    std::erase_if(
        this->statements, [&is_gone](const auto& item) { return is_gone(item.second.server); });
    std::erase_if(this->malformed_seen, is_gone);
    this->forget_old_reports(now);
}

} // namespace reedramp::routing
