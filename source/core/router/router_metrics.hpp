#pragma once

#include <cstddef>
#include <string>

#include "metrics/registry.hpp"

namespace reedramp::router {

/// Metric series of the router core; docs/OPERATIONS.md lists them in a table.
struct router_metrics {
    explicit router_metrics(metrics::registry& all);

    metrics::registry& all;
    metrics::counter& requests;
    metrics::counter& sends;
    /// Sends whose kept connection had been closed, and that went out on a new one.
    metrics::counter& reconnects;
    /// Sends that were withheld because they could have run a request a second time: a defect.
    metrics::counter& withheld_sends;
    /// Times that a server sent bytes that no request had asked for.
    metrics::counter& unrequested_bytes;
    /// Attempt ids that came again from a caller.
    metrics::counter& repeated_attempts;
    metrics::counter& resumed;
    metrics::counter& larger_models;
    metrics::histogram& first_event_ms;
    metrics::histogram& answer_ms;
    metrics::gauge& in_flight;
    /// Requests that this entry found to crash servers.
    metrics::counter& barred;
    /// Requests that waited for a send slot of a server that is cold or has a limit.
    metrics::counter& slot_waits;
    /// Refusals in which a server asked this entry to back off.
    metrics::counter& backoffs;
    /// Bytes held for callers and servers that read slowly.
    metrics::gauge& held_bytes;
    /// Bytes of requests that still arrive or are not answered yet.
    metrics::gauge& request_bytes;
    /// Pauses in reading a server's response because its caller reads slowly.
    metrics::counter& pauses;
    /// Streams that were given up, and requests that were refused, beyond the bound on held bytes.
    metrics::counter& streams_given_up;
    metrics::counter& memory_refusals;
    /// Number of evacuated data centres.
    metrics::gauge& evacuated;
    /// Time since the server list, and the operators' stream, were last known to be current.
    metrics::gauge& list_age_ms;
    metrics::gauge& rules_age_ms;
    /// Times that the store was restored from an older copy of itself.
    metrics::counter& store_restores;
    /// Queries to neighbours for missing changes of the server list.
    metrics::counter& list_queries;
    /// Updates of the server list from neighbours that were malformed, or ahead of the store.
    metrics::counter& list_rejected;
    /// Reports to peers that were shortened since they were too long; datagrams to peers that the
    /// system did not send; and datagrams of peers that are no reports.
    metrics::counter& reports_shortened;
    metrics::counter& datagrams_unsent;
    metrics::counter& reports_rejected;

    /// Times that the process stood still, and how long altogether.
    metrics::counter& stalls;
    metrics::counter& stalled_ms;

    /// Failures of a handler that nothing else caught; each is a defect.
    metrics::gauge& handler_failures;

    /// Organisations beyond their fair share, summed over services.
    metrics::gauge& beyond_share;
    /// Requests of organisations that were beyond their fair share at the first send.
    metrics::counter& beyond_share_requests;

    /// Counts the end of a request by result: "served", the name of a result code, or
    /// "caller_left".
    auto count_end(const std::string& result) const -> void;

    /// Counts a request that overload control has deferred, held or refused.
    auto
    count_admission(const std::string& decision, const std::string& reason, unsigned rank) const
        -> void;

    /// Counts a response that does not speak for the request that it came for.
    auto count_untrusted(const std::string& reason) const -> void;

    /// Counts a request of a caller for the service.
    auto count_first_attempt(const std::string& service) const -> void;

    /// Counts a retry that the service's budget granted, or denied. `reason` is "stalled",
    /// "larger_model", or the name of the result code of the failed attempt.
    auto count_retry(const std::string& service, const std::string& reason) const -> void;
    auto count_denied_retry(const std::string& service, const std::string& reason) const -> void;

    /// Counts a statement of a backend server that changed its known state, or was rejected.
    auto count_server_statement(const std::string& what) const -> void;

    /// Records how long a stream's first event took from its send, and the prediction.
    auto record_wait(const std::string& service, double predicted_ms, double real_ms) const -> void;

    /// Counts a call to the platform's store. Each is billed.
    auto count_store_call(const std::string& call) const -> void;

    /// Counts unreadable records of one of this product's own streams.
    auto count_skipped(const std::string& stream, std::size_t records) const -> void;
};

} // namespace reedramp::router
