#include "entry_metrics.hpp"

namespace reedramp::entry_program {

auto entry_metrics::count_attempt(const entry::attempt_report& report) -> void
{
    if (report.end != entry::attempt_end::answered) {
        return;
    }
    const auto version =
        report.kind == messages::work_kind::chat ? report.version.value() : std::string("service");
    const auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(report.elapsed);
    this->registry
        .histogram_of(
            "reedramp_entry_attempt_us",
            "Time from dispatch to the whole answer, microseconds",
            {{"version", version}})
        .record(static_cast<double>(elapsed.count()));
    this->registry
        .counter_of(
            "reedramp_entry_completion_tokens_total",
            "Completion tokens of whole answers",
            {{"version", version}})
        .add(report.used.completion_tokens.value());
}

auto entry_metrics::update_counter(
    const std::string& name, const char* help, const metrics::labels& which, std::uint64_t total)
    -> void
{
    auto key = name;
    for (const auto& one : which) {
        key += '/' + one.value;
    }
    auto& before = this->reported_totals[key];
    this->registry.counter_of(name, help, which).add(total - before);
    before = total;
}

auto entry_metrics::update_gauge(const char* name, const char* help, std::uint64_t value) -> void
{
    this->registry.gauge_of(name, help).set(static_cast<std::int64_t>(value));
}

auto entry_metrics::update_core_counters(const entry::core_counters& counters) -> void
{
    this->update_counter("reedramp_entry_answered_total", "Whole answers", {}, counters.answered);
    this->update_counter("reedramp_entry_retries_total", "Second tries", {}, counters.retries);
    this->update_counter(
        "reedramp_entry_continued_streams_total",
        "Streams that went on at another server",
        {},
        counters.continued_streams);
    this->update_counter(
        "reedramp_entry_late_events_total",
        "Events of earlier attempts that were dropped",
        {},
        counters.late_events);
    this->update_counter(
        "reedramp_entry_cut_total", "Requests cut by a shutdown", {}, counters.aborted_by_shutdown);
    for (const auto& [code, count] : counters.refusals) {
        this->update_counter(
            "reedramp_entry_refusals_total",
            "Answers with an error, by code",
            {{"code", std::string(common::row_of(code).name)}},
            count);
    }
    for (const auto& [version, count] : counters.versions) {
        this->update_counter(
            "reedramp_entry_version_answers_total",
            "Whole answers by version",
            {{"version", version.value()}},
            count);
    }
    this->update_gauge("reedramp_entry_in_flight", "Requests under way", counters.in_flight);
}

auto entry_metrics::text(const sources& from) -> std::string
{
    const std::lock_guard guard(this->lock);
    this->update_core_counters(from.core.counters());
    const auto bills = from.bills.counters();
    const auto claims = from.claim_arbiters.counters();
    this->update_gauge("reedramp_entry_pending_bills", "Bills not read back", bills.pending_bills);
    this->update_gauge("reedramp_entry_pending_bill_bytes", "Bytes of these", bills.pending_bytes);
    this->update_counter(
        "reedramp_entry_bill_appends_total", "Appends of bills", {}, bills.appends);
    this->update_gauge("reedramp_entry_claim_keys", "Keys that the keepers hold", claims.keys);
    this->update_counter(
        "reedramp_entry_claim_appends_total", "Appends of claims", {}, claims.appends);
    this->update_gauge(
        "reedramp_entry_configuration_offset",
        "Offset of the configuration in force",
        from.follower.snapshot()->offset.value());
    return this->registry.prometheus_text();
}

} // namespace reedramp::entry_program
