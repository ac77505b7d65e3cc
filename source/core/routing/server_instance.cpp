#include "routing/server_instance.hpp"

#include "placement/affinity.hpp"

namespace reedramp::routing {

auto hash_of(const common::server_id& server) -> std::uint64_t
{
    return placement::affinity_hash(server.value());
}

auto hash_of(const server_instance& start) -> std::uint64_t
{
    // A server that says no start has the hash of its id, as entries of earlier releases name it.
    return start.born == start_time{0}
               ? hash_of(start.id)
               : placement::affinity_weight(hash_of(start.id), start.born.value());
}

auto to_string(const server_instance& start) -> std::string
{
    return start.born == start_time{0}
               ? start.id.value()
               : start.id.value() + "@" + std::to_string(start.born.value());
}

auto operator<<(std::ostream& out, const server_instance& start) -> std::ostream&
{
    return out << to_string(start);
}

} // namespace reedramp::routing
