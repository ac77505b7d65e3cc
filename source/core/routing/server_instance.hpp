#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

#include "common/ids.hpp"

namespace reedramp::routing {

/// Start time of a server, in milliseconds since 1970 by its own clock. 0: unknown.
using start_time = common::strong<struct start_time_tag, std::uint64_t>;

/// One run of a backend server. A server may restart under the same id and then has no earlier
/// state. Everything learned about a server belongs to one instance.
struct server_instance {
    server_instance() = default;

    /// From the id alone, for a server that does not report its start time.
    server_instance(
        common::server_id server, start_time when = start_time{0}) // NOLINT(*-explicit-*)
        : id(std::move(server)), started_at(when)
    {
    }

    common::server_id id;
    start_time started_at{0};

    auto operator<=>(const server_instance&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Hash of a server's id, equal in all processes.
auto hash_of(const common::server_id& server) -> std::uint64_t;

/// Hash of a server instance, by which entries refer to it in messages.
auto hash_of(const server_instance& instance) -> std::uint64_t;

/// "id", or "id@start".
auto to_string(const server_instance& instance) -> std::string;

auto operator<<(std::ostream& out, const server_instance& instance) -> std::ostream&;

} // namespace reedramp::routing

template <>
struct std::hash<reedramp::routing::server_instance> {
    auto operator()(const reedramp::routing::server_instance& instance) const -> std::size_t
    {
        return std::hash<reedramp::common::server_id>{}(instance.id) ^ instance.started_at.value();
    }
};
