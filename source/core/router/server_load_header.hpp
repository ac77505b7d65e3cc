#pragma once

#include <optional>

#include "http/message.hpp"
#include "router/header_names.hpp"
#include "routing/server_load_tracker.hpp"

namespace reedramp::router {

/// Load that a server states in the header of a response.
struct load_header {
    /// None without a valid header.
    std::optional<routing::stated_load> load;
    /// A header was present but malformed.
    bool is_malformed = false;
};

auto read_server_load(const http::response& head, const header_names& names) -> load_header;

} // namespace reedramp::router
