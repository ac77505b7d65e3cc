#include "entry/filter.hpp"

#include <algorithm>

namespace reedramp::entry {

auto filter_chain::run(const exchange_ptr& item) const -> void
{
    while (!item->ended && item->next_filter < this->filters.size()) {
        const auto& next = this->filters[item->next_filter];
        ++item->next_filter;
        item->filters_started = std::max(item->filters_started, item->next_filter);
        if (next.on_request(item) == filter_step::stop) {
            return;
        }
    }
}

auto filter_chain::restart_at(const exchange_ptr& item, std::string_view name) const -> void
{
    const auto found =
        std::find_if(this->filters.begin(), this->filters.end(), [name](const filter& one) {
            return one.name == name;
        });
    item->next_filter = static_cast<std::size_t>(found - this->filters.begin());
    this->run(item);
}

auto filter_chain::end(exchange& item) const -> void
{
    for (auto index = item.filters_started; index > 0; --index) {
        const auto& one = this->filters[index - 1];
        if (one.on_end) {
            one.on_end(item);
        }
    }
}

auto resume(const exchange_ptr& item) -> void
{
    post(item, [](const exchange_ptr& self) { self->chain->run(self); });
}

} // namespace reedramp::entry
