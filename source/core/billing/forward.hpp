#pragma once

#include <functional>
#include <vector>

#include "billing/collector.hpp"
#include "common/ids.hpp"
#include "messages/channel.hpp"

namespace reedramp::billing {

struct forward_hooks {
    common::host_id self;
    /// The entries that this process knows to be alive, itself included.
    std::function<auto()->std::vector<common::host_id>> entries;
    /// Empty if the address is unknown.
    std::function<auto(const common::host_id& entry)->messages::rpc_address> address_of;
    decltype(messages::peer_calls::hand_over) hand_over;
};

/// Makes the hook `collector_hooks::forward`, which sends bills to this entry's gatherer. The
/// gatherer is chosen for each call, from the entries alive at that time. The error is
/// `peer_unavailable` if this entry appends its own bills or its gatherer's address is unknown; the
/// collector then appends the bills itself.
auto make_forward(forward_hooks hooks) -> decltype(collector_hooks::forward);

} // namespace reedramp::billing
