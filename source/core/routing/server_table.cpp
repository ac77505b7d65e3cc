#include "routing/server_table.hpp"

namespace reedramp::routing {

auto server_table::apply(const registration_change& change) -> void
{
    if (!change.now) {
        this->changes += this->live.erase(change.id);
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
    this->changes += 1;
}

auto server_table::retire(const common::server_id& id) -> void
{
    this->retired.insert(id);
    this->live.erase(id);
    this->changes += 1;
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
