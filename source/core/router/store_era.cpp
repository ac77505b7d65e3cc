#include "common/log.hpp"
#include "router/router_core.hpp"

/// Part of `router_core` that handles the store's return from an older copy of itself. Records
/// written since that copy are gone, and what the copy shows may be out of date.
namespace reedramp::router {

auto router_core::note_era(stream_position seen, const std::string& source) -> void
{
    const auto era = seen.era();
    const bool is_first = !this->store_era.has_value();
    if (!is_first && era <= *this->store_era) {
        return;
    }
    const auto before = this->store_era.value_or(era);
    this->store_era = era;
    if (is_first) {
        return;
    }
    common::log(
        common::log_part::config,
        common::log_level::warning,
        "store restored from an older copy era=" + std::to_string(era) +
            " before=" + std::to_string(before) + " told_by=" + source);
    this->counters.store_restores.add();
    const auto now = this->hooks.clock();
    // Registrations that the copy lacks are kept for the time in which servers register again, like
    // those that lapse in an outage.
    this->freshness.note_new_era(now);
    this->rules_freshness.note_new_era(now);
    // Records written by this product are written again by the entries that know them, after the
    // copy's contents have been read.
    this->rollouts.note_new_era();
    this->crashes.forget_recorded();
    if (this->hooks.on_new_era) {
        this->hooks.on_new_era();
    }
    // Rules are compared by version, and leaving and ended servers by instance, so older data of
    // the copy does not overwrite them.
}

} // namespace reedramp::router
