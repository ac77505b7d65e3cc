#include "router/router_metrics.hpp"

namespace reedramp::router {

namespace {

/// From a millisecond to two minutes, ten buckets for each factor of ten.
constexpr metrics::histogram_range milliseconds_range{1.0, 1.2e5, 10};

} // namespace

router_metrics::router_metrics(metrics::registry& registry)
    : all(registry), requests(registry.counter_of("router_requests_total", "Requests of callers.")),
      sends(registry.counter_of("router_sends_total", "Requests sent to backend servers.")),
      resumed(registry.counter_of(
          "router_resumed_total", "Streams that went on at another server in their midst.")),
      larger_models(registry.counter_of(
          "router_larger_models_total", "Answers dropped for a larger model's.")),
      first_event_ms(registry.histogram_of(
          "router_first_event_ms",
          "From a request to its first event, in ms.",
          {},
          milliseconds_range)),
      answer_ms(registry.histogram_of(
          "router_answer_ms", "From a request to its end, in ms.", {}, milliseconds_range)),
      under_way(registry.gauge_of("router_under_way", "Requests without a final answer.")),
      barred(registry.counter_of(
          "router_barred_total",
          "Requests found to end the servers that run them, and sent to none from then on.")),
      turn_waits(registry.counter_of(
          "router_turn_waits_total",
          "Requests that waited for a turn at a server that is cold or has named a limit.")),
      rests(registry.counter_of(
          "router_rests_total", "Refusals with which a server asked this entry for rest.")),
      evacuated(
          registry.gauge_of("router_evacuated_data_centres", "Data centres that are evacuated.")),
      store_returns(registry.counter_of(
          "router_store_returns_total",
          "Times that the store was found to have come back from an older copy of itself.")),
      list_questions(registry.counter_of(
          "router_list_questions_total",
          "Questions to neighbours for missing changes of the servers' list.")),
      list_rejected(registry.counter_of(
          "router_list_rejected_total", "News of the servers' list that were not taken."))
{
}

auto router_metrics::count_end(const std::string& result) const -> void
{
    this->all
        .counter_of("router_ends_total", "Requests that ended, by result.", {{"result", result}})
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

auto router_metrics::count_server_word(const std::string& what) const -> void
{
    this->all
        .counter_of(
            "router_server_words_total",
            "Words of backend servers that changed what is believed of them, or were not believed.",
            {{"what", what}})
        .add();
}

} // namespace reedramp::router
