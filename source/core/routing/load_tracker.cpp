#include "routing/load_tracker.hpp"

#include <algorithm>
#include <functional>

namespace reedramp::routing {

namespace {

/// Maximum number of servers in one report (24 bytes each), those with the most work: more than an
/// entry sends to at a time where hundreds of entries share the requests.
constexpr std::size_t max_reported = 128;

} // namespace

auto load_tracker::begin(const server_instance& server, double work, double reading, double memory)
    -> void
{
    auto& load = this->ours[server];
    load.requests += 1.0;
    load.work += work;
    load.reading += reading;
    load.memory += memory;
}

auto load_tracker::end(const server_instance& server, double work, double reading, double memory)
    -> void
{
    const auto found = this->ours.find(server);
    if (found == this->ours.end()) {
        return;
    }
    found->second.requests -= 1.0;
    found->second.work -= work;
    found->second.reading -= reading;
    found->second.memory -= memory;
    constexpr double none = 0.5; // Half a request: sums of fractions never reach exactly zero.
    if (found->second.requests < none) {
        this->ours.erase(found);
    }
}

auto load_tracker::reduce_work(const server_instance& server, double work) -> void
{
    const auto found = this->ours.find(server);
    if (found != this->ours.end()) {
        found->second.work -= work;
        found->second.reading = std::max(0.0, found->second.reading - work);
    }
}

auto load_tracker::add(const std::vector<load_report>& loads) const -> void
{
    for (const auto& one : loads) {
        auto& sum = this->sums[one.server];
        sum.reports += 1;
        sum.load.requests += one.load.requests;
        sum.load.work += one.load.work;
        sum.load.reading += one.load.reading;
        sum.load.memory += one.load.memory;
    }
}

auto load_tracker::subtract(const std::vector<load_report>& loads) const -> void
{
    for (const auto& one : loads) {
        const auto found = this->sums.find(one.server);
        if (found == this->sums.end()) {
            continue;
        }
        auto& sum = found->second;
        sum.reports -= 1;
        if (sum.reports == 0) {
            this->sums.erase(found);
            continue;
        }
        sum.load.requests -= one.load.requests;
        sum.load.work -= one.load.work;
        sum.load.reading -= one.load.reading;
        sum.load.memory -= one.load.memory;
    }
}

auto load_tracker::apply_reports(
    const common::host_id& peer, const std::vector<load_report>& loads, time_point trusted_until)
    -> void
{
    auto& report = this->peers[peer];
    this->subtract(report.loads);
    report = {trusted_until, loads};
    this->add(report.loads);
    this->next_expiry = std::min(this->next_expiry, trusted_until);
}

auto load_tracker::expire(time_point now) const -> void
{
    if (now < this->next_expiry) {
        return;
    }
    this->next_expiry = common::never;
    for (auto each = this->peers.begin(); each != this->peers.end();) {
        const auto& report = each->second;
        if (report.trusted_until > now) {
            this->next_expiry = std::min(this->next_expiry, report.trusted_until);
            ++each;
            continue;
        }
        this->subtract(report.loads);
        each = this->peers.erase(each);
    }
}

auto load_tracker::total(const server_instance& server, time_point now) const -> server_load
{
    this->expire(now);
    auto load = this->own(server);
    const auto found = this->sums.find(hash_of(server));
    if (found != this->sums.end()) {
        load.requests += found->second.load.requests;
        load.work += found->second.load.work;
        load.reading += found->second.load.reading;
        load.memory += found->second.load.memory;
    }
    return load;
}

auto load_tracker::own(const server_instance& server) const -> server_load
{
    const auto found = this->ours.find(server);
    return found == this->ours.end() ? server_load{} : found->second;
}

auto load_tracker::make_reports() const -> std::vector<load_report>
{
    std::vector<load_report> all;
    all.reserve(this->ours.size());
    for (const auto& [server, load] : this->ours) {
        all.push_back({hash_of(server), load});
    }
    if (all.size() > max_reported) {
        const auto most = all.begin() + static_cast<std::ptrdiff_t>(max_reported);
        std::ranges::nth_element(
            all, most, std::greater{}, [](const load_report& one) { return one.load.work; });
        all.erase(most, all.end());
    }
    return all;
}

} // namespace reedramp::routing
