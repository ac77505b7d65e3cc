#include "entry/prices.hpp"

#include "billing/price.hpp"
#include "inventory/rules.hpp"

namespace reedramp::entry {

auto cost_of(
    const inventory::state& state, const common::version_id& version, const messages::usage& used)
    -> common::micro_money
{
    const auto* found = inventory::rules::find_version(state, version);
    if (found == nullptr) {
        return common::micro_money(0);
    }
    return billing::price(used, {found->prompt_price, found->completion_price});
}

} // namespace reedramp::entry
