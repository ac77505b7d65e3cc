#include "routing/evacuation_registry.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace reedramp::routing {

auto evacuation_registry::replace(const evacuation_report& known) -> evacuation_change
{
    if (known.known_to <= this->known_to) {
        return {};
    }
    this->known_to = known.known_to;
    return this->change_to({known.evacuated.begin(), known.evacuated.end()});
}

auto evacuation_registry::apply_orders(
    const std::vector<evacuation_order>& orders, stream_position end) -> evacuation_change
{
    auto next = this->current;
    for (const auto& order : orders) {
        if (order.at < this->known_to) {
            // A peer's report, read up to a later position, already includes this order.
            continue;
        }
        if (order.is_evacuated) {
            next.insert(order.data_centre);
        }
        else {
            next.erase(order.data_centre);
        }
    }
    this->known_to = std::max(this->known_to, end);
    return this->change_to(std::move(next));
}

auto evacuation_registry::make_report() const -> evacuation_report
{
    return {this->known_to, {this->current.begin(), this->current.end()}};
}

auto evacuation_registry::change_to(std::set<common::data_centre_id> next) -> evacuation_change
{
    evacuation_change change;
    std::ranges::set_difference(next, this->current, std::back_inserter(change.evacuated));
    std::ranges::set_difference(this->current, next, std::back_inserter(change.lifted));
    this->current = std::move(next);
    return change;
}

} // namespace reedramp::routing
