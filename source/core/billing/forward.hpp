#pragma once

#include <functional>
#include <vector>

#include "billing/collector.hpp"
#include "common/ids.hpp"
#include "messages/channel.hpp"

namespace reedramp::billing {

struct forward_hooks {
    common::host_id self;
    /// The live entries, this one included, as far as this process knows.
    std::function<auto()->std::vector<common::host_id>> entries;
    /// Empty if it is not known.
    std::function<auto(const common::host_id& entry)->messages::rpc_address> address_of;
    decltype(messages::peer_calls::hand_over) hand_over;
};

/// `collector_hooks::forward`: brings bills to this entry's gatherer, as the entries are at that
/// moment. Errors with `peer_unavailable` when this entry appends its own bills, or when its
/// gatherer's address is not known; the collector then appends them.
auto make_forward(forward_hooks hooks) -> decltype(collector_hooks::forward);

} // namespace reedramp::billing
