#pragma once

#include <chrono>
#include <optional>

#include "http/message.hpp"
#include "router/header_names.hpp"

namespace reedramp::router {

/// Directives for the router that a server states in the headers of a response.
struct server_directives {
    /// Requests per second that the server accepts from all entries together; none if unlimited.
    std::optional<double> limit;
    /// A limit header was present but malformed. It neither sets nor lifts a limit.
    bool has_malformed_limit = false;
    /// The server refused the request, and asks this entry to send none for so long.
    std::optional<std::chrono::milliseconds> backoff;
    bool has_malformed_backoff = false;
    /// The server is leaving: no new requests for this instance of it.
    bool is_leaving = false;
};

auto read_server_directives(const http::response& head, const header_names& names)
    -> server_directives;

} // namespace reedramp::router
