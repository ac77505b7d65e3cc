#include "router/relay.hpp"

/// Part of the router that applies organisations' shares.
namespace reedramp::router {

namespace {

/// Pressure above which entries tell each other the organisations' usage, so that it is known when
/// shares begin to count, at a pressure of 1.
constexpr double reported_pressure = 0.5;

} // namespace

auto router_core::make_usage_reports() -> std::vector<overload::usage_report>
{
    if (!this->is_overload_controlled() || this->rules_in_force == nullptr) {
        return {};
    }
    const auto now = this->hooks.clock();
    bool is_reported = false;
    std::size_t beyond = 0;
    for (const auto& service : this->rules_in_force->rules().services) {
        const auto level = this->pressure(service.name);
        is_reported = is_reported || level > reported_pressure;
        beyond += this->shares.count_beyond(service.name, level, now);
    }
    this->counters.beyond_share.set(static_cast<std::int64_t>(beyond));
    return is_reported ? this->shares.make_reports(now) : std::vector<overload::usage_report>{};
}

auto relay::organisation() const -> common::organisation_id
{
    return this->request.owner == nullptr ? common::organisation_id{} : this->request.owner->name;
}

auto relay::excess() const -> double
{
    // Without overload control, the pressure is 0 and the excess 1.
    return this->core->shares.excess(
        this->service,
        this->organisation(),
        this->core->pressure(this->service),
        this->core->hooks.clock());
}

auto relay::note_usage(double work) const -> void
{
    const bool is_first = this->ledger.sends() == 1;
    this->core->counters.beyond_share_requests.add(is_first && this->excess() > 1.0 ? 1 : 0);
    this->core->shares.note_sent(
        this->service, this->organisation(), work, is_first, this->core->hooks.clock());
}

} // namespace reedramp::router
