#include "core_metrics.hpp"

namespace reedramp::agent_program {

auto core_metrics::count_usage(const agent::usage_report& report) -> void
{
    const metrics::labels labels{{"version", report.version.value()}};
    this->registry
        .counter_of("reedramp_agent_prompt_tokens_total", "Prompt tokens of ended runs", labels)
        .add(report.used.prompt_tokens.value());
    this->registry
        .counter_of(
            "reedramp_agent_completion_tokens_total", "Completion tokens of ended runs", labels)
        .add(report.used.completion_tokens.value());
}

auto core_metrics::set_counter_total(const char* name, const char* help, std::uint64_t total)
    -> void
{
    auto& before = this->last_totals[name];
    this->registry.counter_of(name, help).add(total - before);
    before = total;
}

auto core_metrics::set_gauge(const char* name, const char* help, std::uint64_t value) -> void
{
    this->registry.gauge_of(name, help).set(static_cast<std::int64_t>(value));
}

auto core_metrics::text(const agent::core_counters& core, const inventory::follower& follower)
    -> std::string
{
    const std::lock_guard guard(this->lock);
    this->set_counter_total(
        "reedramp_agent_accepted_total", "Requests accepted and recorded", core.accepted);
    this->set_counter_total(
        "reedramp_agent_started_total", "Calls to the backend server", core.started);
    this->set_counter_total(
        "reedramp_agent_finished_total", "Runs with a complete answer", core.finished);
    this->set_counter_total(
        "reedramp_agent_failed_total", "Runs without a complete answer", core.failed);
    this->set_counter_total("reedramp_agent_refused_total", "Requests refused", core.refused);
    this->set_counter_total(
        "reedramp_agent_cancelled_total", "Requests cancelled by their callers", core.cancelled);
    this->set_gauge("reedramp_agent_in_flight", "Calls in flight", core.in_flight);
    this->set_gauge("reedramp_agent_queued", "Requests waiting", core.queued);
    this->set_gauge("reedramp_agent_records", "Request records", core.records);
    this->set_gauge(
        "reedramp_agent_configuration_offset",
        "Offset of the configuration in force",
        follower.snapshot()->offset.value());
    return this->registry.prometheus_text();
}

} // namespace reedramp::agent_program
