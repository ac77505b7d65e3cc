#include "billing/forward.hpp"

#include <utility>

#include "billing/gatherer.hpp"

namespace reedramp::billing {

auto make_forward(forward_hooks given) -> decltype(collector_hooks::forward)
{
    return [hooks = std::move(given)](
               messages::bill_handover bills, messages::answer_hook<messages::accepted> done) {
        const auto gatherer = gatherer_for(hooks.self, hooks.entries());
        if (!gatherer) {
            done(common::failure(
                common::result_code::peer_unavailable, "this entry appends its own bills"));
            return;
        }
        const auto address = hooks.address_of(*gatherer);
        if (address.value().empty()) {
            done(common::failure(
                common::result_code::peer_unavailable, "the address of the gatherer is unknown"));
            return;
        }
        hooks.hand_over(address, std::move(bills), std::move(done));
    };
}

} // namespace reedramp::billing
