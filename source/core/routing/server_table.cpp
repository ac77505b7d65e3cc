#include "routing/server_table.hpp"

#include <algorithm>

#include "placement/affinity.hpp"

namespace reedramp::routing {

namespace {

/// Leaving servers that peers are told of: more than leave within some seconds, in 128 bytes.
constexpr std::size_t most_told = 16;

} // namespace

auto hash_of(const common::server_id& server) -> std::uint64_t
{
    return placement::affinity_hash(server.value());
}

auto server_table::apply(const registration_change& change) -> void
{
    if (!change.now) {
        this->live.erase(change.id);
        return;
    }
    if (this->retired.contains(change.id)) {
        return;
    }
    if (change.now->is_leaving) {
        this->retire(change.id);
        return;
    }
    this->live.insert_or_assign(change.id, *change.now);
}

auto server_table::retire(const common::server_id& id) -> void
{
    if (this->retired.insert(id).second) {
        this->newest_retired.push_back(hash_of(id));
    }
    if (this->newest_retired.size() > most_told) {
        this->newest_retired.pop_front();
    }
    this->live.erase(id);
}

auto server_table::leaving() const -> std::vector<std::uint64_t>
{
    return {this->newest_retired.begin(), this->newest_retired.end()};
}

auto server_table::retire_named(const std::vector<std::uint64_t>& hashes)
    -> std::vector<common::server_id>
{
    std::vector<common::server_id> named;
    for (const auto& id : this->ids()) {
        if (std::ranges::find(hashes, hash_of(id)) != hashes.end()) {
            this->retire(id);
            named.push_back(id);
        }
    }
    return named;
}

auto server_table::ids() const -> std::vector<common::server_id>
{
    std::vector<common::server_id> all;
    for (const auto& [id, one] : this->live) {
        all.push_back(id);
    }
    return all;
}

auto server_table::usable(const common::service_name& service) const
    -> std::vector<const registration*>
{
    std::vector<const registration*> found;
    for (const auto& [id, one] : this->live) {
        if (one.service == service) {
            found.push_back(&one);
        }
    }
    return found;
}

auto server_table::find(const common::server_id& id) const -> const registration*
{
    const auto found = this->live.find(id);
    return found == this->live.end() ? nullptr : &found->second;
}

} // namespace reedramp::routing
