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
            "Time from dispatch to the complete response, microseconds",
            {{"version", version}})
        .record(static_cast<double>(elapsed.count()));
    this->registry
        .counter_of(
            "reedramp_entry_completion_tokens_total",
            "Completion tokens of complete responses",
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
    this->update_counter(
        "reedramp_entry_answered_total", "Complete responses", {}, counters.answered);
    this->update_counter(
        "reedramp_entry_retries_total", "Retries of requests", {}, counters.retries);
    this->update_counter(
        "reedramp_entry_continued_streams_total",
        "Retries that continued a partly sent stream",
        {},
        counters.continued_streams);
    this->update_counter(
        "reedramp_entry_late_events_total",
        "Dropped events of earlier attempts or ended requests",
        {},
        counters.late_events);
    this->update_counter(
        "reedramp_entry_cut_total",
        "Requests aborted at the deadline of a shutdown",
        {},
        counters.aborted_by_shutdown);
    for (const auto& [code, count] : counters.refusals) {
        this->update_counter(
            "reedramp_entry_refusals_total",
            "Errors sent to callers and requests cancelled by them, by result code",
            {{"code", std::string(common::row_of(code).name)}},
            count);
    }
    for (const auto& [version, count] : counters.versions) {
        this->update_counter(
            "reedramp_entry_version_answers_total",
            "Complete responses by version",
            {{"version", version.value()}},
            count);
    }
    this->update_gauge("reedramp_entry_in_flight", "Requests in flight", counters.in_flight);
}

auto entry_metrics::text(const sources& from) -> std::string
{
    const std::lock_guard guard(this->lock);
    this->update_core_counters(from.core.counters());
    const auto bills = from.bills.counters();
    const auto claims = from.claim_arbiters.counters();
    this->update_gauge(
        "reedramp_entry_pending_bills",
        "Bills not yet confirmed by reading them back from the log",
        bills.pending_bills);
    this->update_gauge(
        "reedramp_entry_pending_bill_bytes",
        "Size of the unconfirmed bills, bytes",
        bills.pending_bytes);
    this->update_counter(
        "reedramp_entry_bill_appends_total", "Appends of bills to the log", {}, bills.appends);
    this->update_gauge(
        "reedramp_entry_claim_keys", "Keys held by the claim arbiters of this entry", claims.keys);
    this->update_counter(
        "reedramp_entry_claim_appends_total", "Appends of claims to the log", {}, claims.appends);
    this->update_gauge(
        "reedramp_entry_configuration_offset",
        "Offset of the configuration in force",
        from.follower.snapshot()->offset.value());
    return this->registry.prometheus_text();
}

} // namespace reedramp::entry_program
