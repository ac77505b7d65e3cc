#pragma once

#include <cstddef>
#include <string>

#include "metrics/registry.hpp"

namespace reedramp::router {

/// The series of a router's core; docs/OPERATIONS.md has them in a table.
struct router_metrics {
    explicit router_metrics(metrics::registry& all);

    metrics::registry& all;
    metrics::counter& requests;
    metrics::counter& sends;
    metrics::counter& resumed;
    metrics::counter& larger_models;
    metrics::histogram& first_event_ms;
    metrics::histogram& answer_ms;
    metrics::gauge& under_way;
    /// Requests that this entry has found to end servers.
    metrics::counter& barred;
    /// Requests that waited for a turn at a server that is cold or has named a limit.
    metrics::counter& turn_waits;
    /// Refusals with which a server asked this entry for rest.
    metrics::counter& rests;
    /// Data centres that are evacuated.
    metrics::gauge& evacuated;
    /// Times that the store came back from an older copy of itself.
    metrics::counter& store_returns;
    /// Questions to neighbours for what is missing of the servers' list.
    metrics::counter& list_questions;
    /// News of the list from neighbours that were none, or lay ahead of the store.
    metrics::counter& list_rejected;

    /// A request's end, by result: "served", the name of a result code, or "caller_left".
    auto count_end(const std::string& result) const -> void;

    /// A word of a backend server that changed what is believed of it, or that can't be believed.
    auto count_server_word(const std::string& what) const -> void;

    /// A call to the platform's store; each is paid for.
    auto count_store_call(const std::string& call) const -> void;

    /// Records of one of the product's own streams that could not be read.
    auto count_skipped(const std::string& stream, std::size_t records) const -> void;
};

} // namespace reedramp::router
