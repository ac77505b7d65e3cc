#include "routing/server_health.hpp"

#include <algorithm>
#include <cmath>

#include "routing/server_table.hpp"

namespace reedramp::routing {

namespace {

/// Time in which outcomes told to peers fade: some rounds of messages among 26 entries.
constexpr double recent_memory_s = 2.0;
/// Failures below which a server is not told of.
constexpr double least_told = 0.4;

} // namespace

auto server_health::note(const server_instance& server, server_outcome outcome, time_point now)
    -> void
{
    auto& of = this->servers[server];
    if (outcome == server_outcome::refused) {
        // Full is no fault; the load book keeps work away from it.
        return;
    }
    const bool is_good = outcome == server_outcome::good;
    const double value = is_good ? 0.0 : 1.0;
    of.failures += this->settings.memory * (value - of.failures);
    of.recent = faded(of.recent, now);
    (is_good ? of.recent.good : of.recent.bad) += 1.0;
    constexpr double mean_memory = 0.02;
    this->mean_failures += mean_memory * (value - this->mean_failures);
    if (is_good) {
        of.own.count = 0;
        return;
    }
    if (outcome == server_outcome::unreachable || this->is_excessive(of.failures)) {
        this->rest(of.own, now);
    }
    this->judge_pooled(hash_of(server), now);
}

auto server_health::is_resting(const server_instance& server, time_point now) const -> bool
{
    const auto found = this->servers.find(server);
    if (found != this->servers.end() && found->second.own.until > now) {
        return true;
    }
    const auto told = this->pooled_rests.find(hash_of(server));
    return told != this->pooled_rests.end() && told->second.until > now;
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

auto server_health::rest(rests& of, time_point now) const -> void
{
    if (of.until > now) {
        return; // Requests that were under way there end one after the other; they count once.
    }
    auto time = this->settings.first_rest;
    for (unsigned i = 0; i < of.count && time < this->settings.longest_rest; ++i) {
        time *= 2;
    }
    of.count += 1;
    of.until = now + std::min(time, this->settings.longest_rest);
}

auto server_health::is_excessive(double share) const -> bool
{
    const auto usual = std::min(this->mean_failures, this->settings.most_usual_failures);
    return share > usual + this->settings.excess;
}

auto server_health::faded(const recent_outcomes& of, time_point now) -> recent_outcomes
{
    const auto passed = std::chrono::duration<double>(now - of.counted_at).count();
    const double kept = std::exp(-std::max(passed, 0.0) / recent_memory_s);
    return {of.good * kept, of.bad * kept, now};
}

auto server_health::tell(time_point now) const -> std::vector<outcome_report>
{
    std::vector<outcome_report> all;
    for (const auto& [server, one] : this->servers) {
        const auto recent = faded(one.recent, now);
        if (recent.bad >= least_told) {
            all.push_back({hash_of(server), recent.good, recent.bad});
        }
    }
    return all;
}

auto server_health::hear(
    const common::host_id& peer,
    const std::vector<outcome_report>& words,
    time_point trusted_until,
    time_point now) -> void
{
    auto& known = this->peers[peer];
    known.trusted_until = trusted_until;
    known.servers.clear();
    for (const auto& one : words) {
        known.servers[one.server] = one;
    }
    // A long time without a rest shows that the server is well again, or gone.
    std::erase_if(this->pooled_rests, [this, now](const auto& item) {
        return now > item.second.until + this->settings.longest_rest;
    });
    for (const auto& one : words) {
        this->judge_pooled(one.server, now);
    }
}

auto server_health::usual_outcomes(time_point now) const -> double
{
    double sum = 0.0;
    for (const auto& [server, one] : this->servers) {
        const auto recent = faded(one.recent, now);
        sum += recent.good + recent.bad;
    }
    return this->servers.empty() ? 0.0 : sum / static_cast<double>(this->servers.size());
}

auto server_health::pooled(std::uint64_t server, time_point now) const -> recent_outcomes
{
    recent_outcomes sum;
    for (const auto& [id, one] : this->servers) {
        if (hash_of(id) == server) {
            sum = faded(one.recent, now);
        }
    }
    // Peers tell of a server only when it failed there; the others had as many good outcomes as
    // this entry has of a server on average. Left out, a tenth of failures would look like all.
    const double silent_good = this->usual_outcomes(now);
    for (const auto& [host, words] : this->peers) {
        if (words.trusted_until <= now) {
            continue;
        }
        const auto found = words.servers.find(server);
        const bool is_told = found != words.servers.end();
        sum.good += is_told ? found->second.good : silent_good;
        sum.bad += is_told ? found->second.bad : 0.0;
    }
    return sum;
}

auto server_health::judge_pooled(std::uint64_t server, time_point now) -> void
{
    const auto sum = this->pooled(server, now);
    const auto share = sum.bad / std::max(sum.bad + sum.good, 1.0);
    if (sum.bad >= this->settings.least_failures && this->is_excessive(share)) {
        this->rest(this->pooled_rests[server], now);
    }
}

} // namespace reedramp::routing
