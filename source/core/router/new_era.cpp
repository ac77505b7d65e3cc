#include "common/log.hpp"
#include "router/router_core.hpp"

/// What it means for each kind of state that the store has come back from an older copy of itself.
/// What was written there since is gone, and what the copy shows may no longer be so.
namespace reedramp::router {

auto router_core::note_era(stream_position seen, const std::string& told_by) -> void
{
    const auto era = seen.era();
    const bool is_first = !this->known_era.has_value();
    if (!is_first && era <= *this->known_era) {
        return;
    }
    const auto before = this->known_era.value_or(era);
    this->known_era = era;
    if (is_first) {
        return;
    }
    common::log(
        common::log_part::config,
        common::log_level::warning,
        "store came back older era=" + std::to_string(era) + " before=" + std::to_string(before) +
            " told_by=" + told_by);
    this->counters.store_returns.add();
    const auto now = this->hooks.clock();
    // Registrations that the copy lacks are given the time that servers need to write again, as
    // those that lapse in an outage.
    this->freshness.note_new_era(now);
    // What this product wrote is written again by who knows it; what the copy holds is read first.
    this->rollouts.forget_written();
    this->crashes.forget_recorded();
    if (this->hooks.on_new_era) {
        this->hooks.on_new_era();
    }
    // Rules are kept by their version, and leaving and ended servers by their starts: the copy's
    // older words change nothing.
}

} // namespace reedramp::router
