#include "common/log.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"
#include "inventory/hash.hpp"
#include "inventory/rules.hpp"

namespace reedramp::entry {

namespace {

/// Finds the organisation that owns the bearer token.
auto authenticate(const exchange_ptr& item) -> filter_step
{
    auto& context = *item->context;
    item->state = context.hooks.snapshot();
    if (item->state == nullptr || item->state->offset.value() == 0) {
        auto why = common::make_error(common::result_code::not_ready);
        why.retry_at = context.hooks.now() + context.options.retry_after;
        refuse(item, std::move(why));
        return filter_step::stop;
    }
    item->decisions.configuration = item->state->offset;
    if (item->headers.bearer.empty()) {
        refuse(item, common::make_error(common::result_code::unauthenticated, "no bearer token"));
        return filter_step::stop;
    }
    const auto hash = inventory::sha256_hex(item->headers.bearer);
    const auto* owner = inventory::rules::organisation_of_key(*item->state, hash);
    if (owner == nullptr) {
        refuse(item, common::make_error(common::result_code::unauthenticated, "unknown key"));
        return filter_step::stop;
    }
    item->organisation = owner->id;
    return filter_step::proceed;
}

} // namespace

auto make_authenticate() -> filter
{
    return {"authenticate", authenticate};
}

} // namespace reedramp::entry
