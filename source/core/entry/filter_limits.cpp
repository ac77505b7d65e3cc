#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/prices.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

auto expected_amounts(const exchange& item) -> limits::amounts
{
    limits::amounts expected;
    expected.requests = 1.0;
    if (item.kind == messages::work_kind::service) {
        return expected;
    }
    const messages::usage most{item.chat.prompt_tokens, item.chat.max_tokens};
    expected.tokens =
        static_cast<double>(most.prompt_tokens.value() + most.completion_tokens.value());
    expected.money = static_cast<double>(cost_of(*item.state, item.version, most).value());
    return expected;
}

auto used_amounts(const exchange& item) -> limits::amounts
{
    limits::amounts used;
    used.requests = item.bill_lines.empty() ? 0.0 : 1.0;
    for (const auto& line : item.bill_lines) {
        const auto tokens = line.used.prompt_tokens.value() + line.used.completion_tokens.value();
        used.tokens += static_cast<double>(tokens);
        used.money += static_cast<double>(line.cost.value());
    }
    return used;
}

/// Reserves the expected amounts from the organisation's limits. Runs after the version is chosen,
/// because the cost depends on the version's price.
auto reserve(const exchange_ptr& item) -> filter_step
{
    const auto& hooks = item->context->hooks;
    if (!hooks.reserve_limits || item->reserved_amounts) {
        return filter_step::proceed;
    }
    const auto expected = expected_amounts(*item);
    auto admitted = hooks.reserve_limits(item->organisation, expected);
    if (!admitted) {
        refuse(item, std::move(admitted.error()));
        return filter_step::stop;
    }
    item->reserved_amounts = expected;
    return filter_step::proceed;
}

auto settle_reservation(exchange& item) -> void
{
    const auto& hooks = item.context->hooks;
    if (item.reserved_amounts && hooks.settle_limits) {
        hooks.settle_limits(item.organisation, *item.reserved_amounts, used_amounts(item));
    }
}

} // namespace

auto make_limits() -> filter
{
    return {"limits", reserve, settle_reservation};
}

} // namespace reedramp::entry
