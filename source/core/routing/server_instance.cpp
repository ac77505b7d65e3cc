#include "routing/server_instance.hpp"

#include "placement/affinity.hpp"

namespace reedramp::routing {

auto hash_of(const common::server_id& server) -> std::uint64_t
{
    return placement::affinity_hash(server.value());
}

auto hash_of(const server_instance& instance) -> std::uint64_t
{
    // Without a start time the hash is that of the id, as entries of earlier releases use it.
    return instance.started_at == start_time{0}
               ? hash_of(instance.id)
               : placement::affinity_weight(hash_of(instance.id), instance.started_at.value());
}

auto to_string(const server_instance& instance) -> std::string
{
    return instance.started_at == start_time{0}
               ? instance.id.value()
               : instance.id.value() + "@" + std::to_string(instance.started_at.value());
}

auto operator<<(std::ostream& out, const server_instance& instance) -> std::ostream&
{
    return out << to_string(instance);
}

} // namespace reedramp::routing
