#include "core_metrics.hpp"

namespace reedramp::agent_program {

auto core_metrics::count_usage(const agent::usage_report& report) -> void
{
    const metrics::labels which{{"version", report.version.value()}};
    this->registry
        .counter_of("reedramp_agent_prompt_tokens_total", "Prompt tokens of ended runs", which)
        .add(report.used.prompt_tokens.value());
    this->registry
        .counter_of(
            "reedramp_agent_completion_tokens_total", "Completion tokens of ended runs", which)
        .add(report.used.completion_tokens.value());
}

auto core_metrics::raise(const char* name, const char* help, std::uint64_t total) -> void
{
    auto& before = this->shown[name];
    this->registry.counter_of(name, help).add(total - before);
    before = total;
}

auto core_metrics::show(const char* name, const char* help, std::uint64_t value) -> void
{
    this->registry.gauge_of(name, help).set(static_cast<std::int64_t>(value));
}

auto core_metrics::text(const agent::core_counters& core, const inventory::follower& follower)
    -> std::string
{
    const std::lock_guard guard(this->lock);
    this->raise("reedramp_agent_accepted_total", "Requests recorded", core.accepted);
    this->raise("reedramp_agent_started_total", "Calls to the backend server", core.started);
    this->raise("reedramp_agent_finished_total", "Runs with a whole answer", core.finished);
    this->raise("reedramp_agent_failed_total", "Runs without a whole answer", core.failed);
    this->raise("reedramp_agent_refused_total", "Requests refused", core.refused);
    this->raise("reedramp_agent_cancelled_total", "Requests whose caller left", core.cancelled);
    this->show("reedramp_agent_in_flight", "Calls under way", core.in_flight);
    this->show("reedramp_agent_queued", "Requests that wait", core.queued);
    this->show("reedramp_agent_records", "Requests remembered", core.records);
    this->show(
        "reedramp_agent_configuration_offset",
        "Offset of the configuration in force",
        follower.snapshot()->offset.value());
    return this->registry.prometheus_text();
}

} // namespace reedramp::agent_program
