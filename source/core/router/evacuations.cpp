#include "common/log.hpp"
#include "router/router_core.hpp"

/// Part of `router_core` that applies operators' orders to evacuate a data centre and to revoke
/// that.
namespace reedramp::router {

auto router_core::replace_evacuations(
    const routing::evacuation_report& known, const std::string& source) -> void
{
    const auto changed = this->evacuations.replace(known);
    this->on_evacuation_change(changed, source);
}

auto router_core::apply_evacuation_orders(
    const std::vector<routing::evacuation_order>& orders, stream_position end) -> void
{
    this->on_evacuation_change(this->evacuations.apply_orders(orders, end), "store");
}

auto router_core::on_evacuation_change(
    const routing::evacuation_change& changed, const std::string& source) -> void
{
    if (changed.is_empty()) {
        return;
    }
    this->evacuation_change_count += 1;
    this->servers.set_evacuated(this->evacuations.evacuated());
    const auto now = this->hooks.clock();
    const auto log = [&source](const char* what, const common::data_centre_id& data_centre) {
        common::log(
            common::log_part::config,
            common::log_level::info,
            std::string{"data centre "} + what + " data_centre=" + data_centre.value() +
                " told_by=" + source);
    };
    for (const auto& data_centre : changed.evacuated) {
        log("evacuated", data_centre);
    }
    for (const auto& data_centre : changed.lifted) {
        // Its servers may have restarted while they received no requests. Their next registration
        // record takes a second or two.
        this->servers.assume_cold(data_centre, now + this->options.cold_after_evacuation);
        log("taken back", data_centre);
    }
    this->counters.evacuated.set(static_cast<std::int64_t>(this->evacuations.evacuated().size()));
}

} // namespace reedramp::router
