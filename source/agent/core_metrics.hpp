#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "agent/core.hpp"
#include "inventory/follower.hpp"
#include "metrics/registry.hpp"

namespace reedramp::agent_program {

/// The agent's series. The core's counters are read when the text is asked for.
class core_metrics {
public:
    /// Tokens of one ended run.
    auto count_usage(const agent::usage_report& report) -> void;

    auto text(const agent::core_counters& core, const inventory::follower& follower) -> std::string;

private:
    auto raise(const char* name, const char* help, std::uint64_t total) -> void;
    auto show(const char* name, const char* help, std::uint64_t value) -> void;

    metrics::registry registry;
    std::mutex lock;
    /// Totals as of the last text, by name.
    std::map<std::string, std::uint64_t> shown;
};

} // namespace reedramp::agent_program
