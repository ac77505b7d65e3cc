#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "agent/core.hpp"
#include "inventory/follower.hpp"
#include "metrics/registry.hpp"

namespace reedramp::agent_program {

/// The agent's metrics. The core's counters are copied when the text is generated. Thread-safe.
class core_metrics {
public:
    /// Adds the tokens of one ended run.
    auto count_usage(const agent::usage_report& report) -> void;

    auto text(const agent::core_counters& core, const inventory::follower& follower) -> std::string;

private:
    auto set_counter_total(const char* name, const char* help, std::uint64_t total) -> void;
    auto set_gauge(const char* name, const char* help, std::uint64_t value) -> void;

    metrics::registry registry;
    std::mutex lock;
    /// Totals at the last generated text, by name.
    std::map<std::string, std::uint64_t> last_totals;
};

} // namespace reedramp::agent_program
