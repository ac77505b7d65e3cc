#pragma once

#include <chrono>
#include <optional>

#include "http/message.hpp"
#include "router/header_names.hpp"

namespace reedramp::router {

/// What a server says of itself in the head of an answer.
struct server_directives {
    /// Requests a second that it takes from all entries together; none: any number.
    std::optional<double> limit;
    /// A header is there whose value can't be read: it says nothing, and takes nothing back.
    bool has_odd_limit = false;
    /// It turns the request away, and wants none from this entry for so long.
    std::optional<std::chrono::milliseconds> rest;
    bool has_odd_rest = false;
    /// It leaves: no new work for this start of it.
    bool is_leaving = false;
};

auto read_server_words(const http::response& head, const header_names& names) -> server_directives;

} // namespace reedramp::router
