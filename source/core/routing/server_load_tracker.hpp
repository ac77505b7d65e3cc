#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "common/units.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

using common::time_point;

/// Load of a server at the moment of a response's head, as the server stated it.
struct stated_load {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /// How long work takes on the server's host at present, relative to usual: 1.0 as usual. None
    /// if the server does not state it.
    std::optional<double> slowdown;
};

/// A host that is slower or faster than usual at present, as sent to peers. `server` is a hash of
/// the server instance.
struct slowdown_report {
    std::uint64_t server = 0;
    double factor = 1.0;
    std::chrono::milliseconds age{0};
};

} // namespace reedramp::routing
