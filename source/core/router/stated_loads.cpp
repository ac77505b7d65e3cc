#include <chrono>

#include "common/log.hpp"
#include "router/router_core.hpp"
#include "router/server_load_header.hpp"

/// Part of `router_core` that applies the load that servers state in their responses.
namespace reedramp::router {

auto router_core::apply_load(
    const answering_server& from,
    const http::response& head,
    bool is_refusal,
    const std::string& attempt) -> std::optional<routing::stated_load>
{
    const auto read = read_server_load(head, this->options.names);
    if (read.is_malformed && this->stated_loads.note_malformed(from.server)) {
        this->counters.count_server_statement("load_unreadable");
        common::log(
            common::log_part::members,
            common::log_level::warning,
            "server's load is malformed server=" + to_string(from.server) + " request=" + attempt);
    }
    if (!read.load) {
        return std::nullopt;
    }
    this->stated_loads.note(
        from.service, {from.server, *read.load, this->hooks.clock(), from.work}, is_refusal);
    if (read.load->slowdown) {
        this->overload_control.note_stated_speed();
    }
    return read.load;
}

} // namespace reedramp::router
