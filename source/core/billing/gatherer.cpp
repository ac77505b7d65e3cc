#include "billing/gatherer.hpp"

#include <algorithm>

#include "membership/rendezvous.hpp"

namespace reedramp::billing {

auto gatherer_for(const common::host_id& self, std::span<const common::host_id> entries)
    -> std::optional<common::host_id>
{
    if (entries.size() <= gatherer_count) {
        return std::nullopt;
    }
    auto gatherers = membership::rank("bills", entries);
    gatherers.resize(gatherer_count);
    if (std::ranges::find(gatherers, self) != gatherers.end()) {
        return std::nullopt;
    }
    return membership::rank(self.value(), gatherers).front();
}

} // namespace reedramp::billing
