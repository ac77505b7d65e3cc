#include "router/router_metrics.hpp"

#include <algorithm>

namespace reedramp::router {

namespace {

/// From one millisecond to two minutes, with ten buckets per factor of ten.
constexpr metrics::histogram_range milliseconds_range{1.0, 1.2e5, 10};

} // namespace

router_metrics::router_metrics(metrics::registry& registry)
    : all(registry),
      requests(registry.counter_of("router_requests_total", "Requests received from callers.")),
      sends(registry.counter_of("router_sends_total", "Requests sent to backend servers.")),
      reconnects(registry.counter_of(
          "router_reconnects_total",
          "Sends whose kept connection had been closed, and that went out on a new one.")),
      withheld_sends(registry.counter_of(
          "router_withheld_sends_total",
          "Sends that were withheld because they could have run a request a second time.")),
      unrequested_bytes(registry.counter_of(
          "router_unrequested_bytes_total",
          "Times that a server sent bytes that no request had asked for.")),
      repeated_attempts(registry.counter_of(
          "router_repeated_attempts_total", "Attempt ids that came again from a caller.")),
      resumed(registry.counter_of(
          "router_resumed_total", "Streams that were resumed at another server before their end.")),
      larger_models(registry.counter_of(
          "router_larger_models_total", "Answers discarded to ask a larger model.")),
      first_event_ms(registry.histogram_of(
          "router_first_event_ms",
          "Time from receiving a request to its first event, in ms.",
          {},
          milliseconds_range)),
      answer_ms(registry.histogram_of(
          "router_answer_ms",
          "Time from receiving a request to its end, in ms.",
          {},
          milliseconds_range)),
      in_flight(registry.gauge_of("router_under_way", "Requests without a final response.")),
      barred(registry.counter_of(
          "router_barred_total",
          "Requests found to crash the servers that run them, and refused from then on.")),
      slot_waits(registry.counter_of(
          "router_turn_waits_total",
          "Requests that waited for a send slot of a server that is cold or has a limit.")),
      backoffs(registry.counter_of(
          "router_rests_total", "Refusals in which a server asked this entry to back off.")),
      held_bytes(registry.gauge_of(
          "router_held_bytes", "Bytes held for callers and servers that read slowly.")),
      request_bytes(registry.gauge_of(
          "router_request_bytes", "Bytes of requests that still arrive or are not answered yet.")),
      pauses(registry.counter_of(
          "router_pauses_total",
          "Pauses in reading a server's response because its caller reads slowly.")),
      streams_given_up(registry.counter_of(
          "router_streams_given_up_total",
          "Requests given up because the entry held too much for slow readers.")),
      memory_refusals(registry.counter_of(
          "router_memory_refusals_total",
          "Requests refused because the entry held too much for slow readers, or of requests.")),
      evacuated(
          registry.gauge_of("router_evacuated_data_centres", "Data centres that are evacuated.")),
      list_age_ms(registry.gauge_of(
          "router_list_age_ms", "Time since the server list was known to be current.")),
      rules_age_ms(registry.gauge_of(
          "router_rules_age_ms",
          "Time since the operators' rules and orders were known to be current.")),
      store_restores(registry.counter_of(
          "router_store_returns_total",
          "Times that the store was found to be restored from an older copy of itself.")),
      list_queries(registry.counter_of(
          "router_list_questions_total",
          "Queries to neighbours for missing changes of the server list.")),
      list_rejected(registry.counter_of(
          "router_list_rejected_total", "Server list updates that were rejected.")),
      reports_shortened(registry.counter_of(
          "router_reports_shortened_total", "Reports to peers that were too long.")),
      datagrams_unsent(registry.counter_of(
          "router_datagrams_unsent_total", "Datagrams to peers that the system did not send.")),
      reports_rejected(registry.counter_of(
          "router_reports_rejected_total", "Datagrams of peers that are no reports.")),
      stalls(registry.counter_of(
          "router_process_stalls_total", "Times that the process stood still for 0.5 s or more.")),
      stalled_ms(registry.counter_of(
          "router_process_stalled_ms_total", "Time for which the process stood still, in ms.")),
      handler_failures(registry.gauge_of(
          "router_handler_failures", "Failures of a handler that nothing else caught.")),
      beyond_share(registry.gauge_of(
          "router_organisations_beyond_share",
          "Organisations that use more than their fair share, summed over services.")),
      beyond_share_requests(registry.counter_of(
          "router_beyond_share_requests_total",
          "Requests that were sent for organisations beyond their fair share."))
{
}

auto router_metrics::count_end(const std::string& result) const -> void
{
    this->all
        .counter_of("router_ends_total", "Requests that ended, by result.", {{"result", result}})
        .add();
}

auto router_metrics::record_wait(
    const std::string& service, double predicted_ms, double real_ms) const -> void
{
    const metrics::labels labels{{"service", service}};
    this->all
        .histogram_of(
            "router_predicted_wait_ms",
            "Predicted time from a send to the first event, in ms.",
            labels,
            milliseconds_range)
        .record(predicted_ms);
    this->all
        .histogram_of(
            "router_real_wait_ms",
            "Time from a send to the first event, in ms, where it was predicted.",
            labels,
            milliseconds_range)
        .record(real_ms);
}

auto router_metrics::count_admission(
    const std::string& decision, const std::string& reason, unsigned rank) const -> void
{
    // Bounds the number of series.
    constexpr unsigned last_rank = 9;
    this->all
        .counter_of(
            "router_admission_total",
            "Requests that overload control deferred, held or refused.",
            {{"decision", decision},
             {"reason", reason},
             {"rank", std::to_string(std::min(rank, last_rank))}})
        .add();
}

auto router_metrics::count_first_attempt(const std::string& service) const -> void
{
    this->all
        .counter_of(
            "router_first_attempts_total",
            "Requests of callers, by service.",
            {{"service", service}})
        .add();
}

auto router_metrics::count_retry(const std::string& service, const std::string& reason) const
    -> void
{
    this->all
        .counter_of(
            "router_retries_total",
            "Further sends that the service's retry budget granted.",
            {{"service", service}, {"reason", reason}})
        .add();
}

auto router_metrics::count_denied_retry(const std::string& service, const std::string& reason) const
    -> void
{
    this->all
        .counter_of(
            "router_retries_denied_total",
            "Further sends that the service's retry budget denied.",
            {{"service", service}, {"reason", reason}})
        .add();
}

auto router_metrics::count_untrusted(const std::string& reason) const -> void
{
    this->all
        .counter_of(
            "router_untrusted_total",
            "Responses that do not speak for the request that they came for.",
            {{"reason", reason}})
        .add();
}

auto router_metrics::count_store_call(const std::string& call) const -> void
{
    this->all
        .counter_of("router_store_calls_total", "Calls to the platform's store.", {{"call", call}})
        .add();
}

auto router_metrics::count_skipped(const std::string& stream, std::size_t records) const -> void
{
    if (records == 0) {
        return;
    }
    this->all
        .counter_of(
            "router_records_skipped_total",
            "Records of the product's own streams that could not be read.",
            {{"stream", stream}})
        .add(records);
}

auto router_metrics::count_server_statement(const std::string& what) const -> void
{
    this->all
        .counter_of(
            "router_server_words_total",
            "Statements of backend servers that changed their known state, or were rejected.",
            {{"what", what}})
        .add();
}

} // namespace reedramp::router
