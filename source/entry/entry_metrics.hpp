#pragma once

#include <map>
#include <mutex>
#include <string>

#include "billing/collector.hpp"
#include "claims/claim_arbiter_set.hpp"
#include "entry/core.hpp"
#include "entry/core_hooks.hpp"
#include "inventory/follower.hpp"
#include "metrics/registry.hpp"

namespace reedramp::entry_program {

/// The entry's time series for GET /metrics. Thread-safe.
class entry_metrics {
public:
    /// Records an ended attempt; only answered ones count.
    auto count_attempt(const entry::attempt_report& report) -> void;

    struct sources {
        const entry::core& core;
        const inventory::follower& follower;
        const billing::collector& bills;
        const claims::claim_arbiter_set& claim_arbiters;
    };

    auto text(const sources& from) -> std::string;

private:
    auto update_counter(
        const std::string& name,
        const char* help,
        const metrics::labels& which,
        std::uint64_t total) -> void;
    auto update_gauge(const char* name, const char* help, std::uint64_t value) -> void;
    auto update_core_counters(const entry::core_counters& counters) -> void;

    metrics::registry registry;
    std::mutex lock;
    /// Totals at the last reading, by name and label values: the registry's counters are increased
    /// by differences.
    std::map<std::string, std::uint64_t> reported_totals;
};

} // namespace reedramp::entry_program
