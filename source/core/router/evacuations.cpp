#include "common/log.hpp"
#include "router/router_core.hpp"

/// What it means for an entry that operators evacuate a data centre, or take it back.
namespace reedramp::router {

auto router_core::learn_evacuations(
    const routing::evacuation_report& known, const std::string& told_by) -> void
{
    const auto changed = this->evacuations.replace(known);
    this->on_evacuations(changed, told_by);
}

auto router_core::follow_evacuations(
    const std::vector<routing::evacuation_order>& orders, stream_position end) -> void
{
    this->on_evacuations(this->evacuations.apply_orders(orders, end), "store");
}

auto router_core::on_evacuations(
    const routing::evacuation_change& changed, const std::string& told_by) -> void
{
    if (changed.is_empty()) {
        return;
    }
    this->evacuation_changes += 1;
    this->servers.set_evacuated(this->evacuations.evacuated());
    const auto now = this->hooks.clock();
    const auto log = [&told_by](const char* what, const common::data_centre_id& data_centre) {
        common::log(
            common::log_part::config,
            common::log_level::info,
            std::string{"data centre "} + what + " data_centre=" + data_centre.value() +
                " told_by=" + told_by);
    };
    for (const auto& data_centre : changed.evacuated) {
        log("evacuated", data_centre);
    }
    for (const auto& data_centre : changed.lifted) {
        // Its servers may have started anew while nothing was sent there, and their next word
        // comes a second or two later.
        this->servers.assume_cold(data_centre, now + this->options.warmth_unknown);
        log("taken back", data_centre);
    }
    this->counters.evacuated.set(static_cast<std::int64_t>(this->evacuations.evacuated().size()));
}

} // namespace reedramp::router
