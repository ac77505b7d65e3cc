#include "routing/server_health.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

#include "routing/server_table.hpp"

namespace reedramp::routing {

namespace {

/// Time constant for the decay of outcomes in reports: several rounds of messages among 26 entries.
constexpr double recent_memory_s = 2.0;
/// Minimum decayed failures for a server to be reported.
constexpr double min_reported = 0.4;
/// Maximum number of servers in one report (24 bytes each), those with the most failures.
constexpr std::size_t max_reported = 64;

} // namespace

auto server_health::note(const server_instance& server, server_outcome outcome, time_point now)
    -> void
{
    auto& of = this->servers[server];
    if (outcome == server_outcome::refused) {
        // A full server is no failure; the load tracker keeps work away from it.
        return;
    }
    const bool is_good = outcome == server_outcome::good;
    const double value = is_good ? 0.0 : 1.0;
    of.failures += this->settings.memory * (value - of.failures);
    of.recent = decayed(of.recent, now);
    (is_good ? of.recent.good : of.recent.bad) += 1.0;
    constexpr double mean_memory = 0.02;
    this->mean_failures += mean_memory * (value - this->mean_failures);
    if (is_good) {
        of.own.count = 0;
        return;
    }
    if (outcome == server_outcome::unreachable || this->is_excessive(of.failures)) {
        this->eject(of.own, now);
    }
    this->judge_pooled(hash_of(server), now);
}

auto server_health::is_ejected(const server_instance& server, time_point now) const -> bool
{
    const auto found = this->servers.find(server);
    if (found != this->servers.end() && found->second.own.until > now) {
        return true;
    }
    const auto pooled_entry = this->pooled_ejections.find(hash_of(server));
    return pooled_entry != this->pooled_ejections.end() && pooled_entry->second.until > now;
}

auto server_health::failures(const server_instance& server) const -> double
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? 0.0 : found->second.failures;
}

auto server_health::forget_if(
    const std::function<auto(const server_instance& server)->bool>& is_gone) -> void
{
    std::erase_if(this->servers, [&is_gone](const auto& item) { return is_gone(item.first); });
}

auto server_health::eject(ejection& of, time_point now) const -> void
{
    if (of.until > now) {
        return; // Requests that were in flight there fail one after the other; they count once.
    }
    auto time = this->settings.first_ejection;
    for (unsigned i = 0; i < of.count && time < this->settings.max_ejection; ++i) {
        time *= 2;
    }
    of.count += 1;
    of.until = now + std::min(time, this->settings.max_ejection);
}

auto server_health::is_excessive(double share) const -> bool
{
    const auto usual = std::min(this->mean_failures, this->settings.max_usual_failures);
    return share > usual + this->settings.excess;
}

auto server_health::decayed(const recent_outcomes& of, time_point now) -> recent_outcomes
{
    const auto passed = std::chrono::duration<double>(now - of.counted_at).count();
    const double kept = std::exp(-std::max(passed, 0.0) / recent_memory_s);
    return {of.good * kept, of.bad * kept, now};
}

auto server_health::make_reports(time_point now) const -> std::vector<outcome_report>
{
    std::vector<outcome_report> all;
    for (const auto& [server, one] : this->servers) {
        const auto recent = decayed(one.recent, now);
        if (recent.bad >= min_reported) {
            all.push_back({hash_of(server), recent.good, recent.bad});
        }
    }
    if (all.size() > max_reported) {
        const auto most = all.begin() + static_cast<std::ptrdiff_t>(max_reported);
        std::ranges::nth_element(all, most, std::greater{}, &outcome_report::bad);
        all.erase(most, all.end());
    }
    return all;
}

auto server_health::apply_reports(
    const common::host_id& peer,
    const std::vector<outcome_report>& reports,
    time_point trusted_until,
    time_point now) -> void
{
    auto& known = this->peers[peer];
    known.trusted_until = trusted_until;
    known.servers.clear();
    for (const auto& one : reports) {
        known.servers[one.server] = one;
    }
    // A server that has not been ejected for a long time has recovered, or is gone.
    std::erase_if(this->pooled_ejections, [this, now](const auto& item) {
        return now > item.second.until + this->settings.max_ejection;
    });
    for (const auto& one : reports) {
        this->judge_pooled(one.server, now);
    }
}

auto server_health::mean_outcomes(time_point now) const -> double
{
    double sum = 0.0;
    for (const auto& [server, one] : this->servers) {
        const auto recent = decayed(one.recent, now);
        sum += recent.good + recent.bad;
    }
    return this->servers.empty() ? 0.0 : sum / static_cast<double>(this->servers.size());
}

auto server_health::pooled(std::uint64_t server, time_point now) const -> recent_outcomes
{
    recent_outcomes sum;
    for (const auto& [id, one] : this->servers) {
        if (hash_of(id) == server) {
            sum = decayed(one.recent, now);
        }
    }
    // Peers report a server only if it failed there; the others are assumed to have had as many
    // good outcomes as this entry has per server on average. Without them, a failure rate of a
    // tenth would look like one of 1.
    const double silent_good = this->mean_outcomes(now);
    for (const auto& [host, reports] : this->peers) {
        if (reports.trusted_until <= now) {
            continue;
        }
        const auto found = reports.servers.find(server);
        const bool is_reported = found != reports.servers.end();
        sum.good += is_reported ? found->second.good : silent_good;
        sum.bad += is_reported ? found->second.bad : 0.0;
    }
    return sum;
}

auto server_health::judge_pooled(std::uint64_t server, time_point now) -> void
{
    const auto sum = this->pooled(server, now);
    const auto share = sum.bad / std::max(sum.bad + sum.good, 1.0);
    if (sum.bad >= this->settings.min_failures && this->is_excessive(share)) {
        this->eject(this->pooled_ejections[server], now);
    }
}

} // namespace reedramp::routing
