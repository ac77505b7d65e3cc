#include <utility>
#include <variant>

#include "claims/fingerprint.hpp"
#include "common/log.hpp"
#include "entry/attempt.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

auto make_claim_request(const exchange& item) -> messages::claim_request
{
    messages::claim_request claim;
    claim.organisation = item.organisation;
    claim.key = claims::key_fingerprint(item.organisation, *item.headers.idempotency_key);
    claim.body =
        claims::body_fingerprint(item.request.method, item.request.target, item.request.body);
    claim.request = item.id;
    claim.server = item.placement.server;
    claim.incarnation = item.placement.incarnation;
    claim.attempt = common::attempt_number(item.attempt.number.value() + 1);
    claim.version = item.version;
    if (item.claim_offset) {
        claim.replaces = *item.claim_offset;
    }
    return claim;
}

auto on_granted(const exchange_ptr& item, const claims::claim_granted& grant) -> void
{
    item->claim_offset = grant.offset;
    item->attempt.number = common::attempt_number(grant.claim.attempt.value() - 1);
    record_decision(
        *item, common::log_part::claims, {"claim", item->placement.server.value(), "won", {}});
    item->chain->run(item);
}

/// An earlier copy of the request has ended: its response is sent to this caller, and its bill is
/// written under its id. Readers of the bills drop the duplicate if the entry that ran the copy has
/// written the bill as well.
auto on_answered(const exchange_ptr& item, const claims::claim_answered& answered) -> void
{
    record_decision(
        *item,
        common::log_part::claims,
        {"claim", answered.holder.server.value(), "already answered", {}});
    item->billing_id = answered.holder.request;
    item->version = answered.holder.version;
    item->placement.server = answered.holder.server;
    item->is_rated = false;
    if (answered.outcome.finished) {
        complete_attempt(item, *answered.outcome.finished);
        return;
    }
    add_bill_line(*item, answered.outcome.used);
    auto why = answered.outcome.why.value_or(common::make_error(
        common::result_code::duplicate_request,
        "the request ran, but its response is no longer stored"));
    why.run = common::execution::ran;
    fail_request(item, std::move(why));
}

auto on_refused(const exchange_ptr& item, const claims::claim_refused& refused) -> void
{
    const auto is_required = item->repeat == messages::repeat_rule::at_most_once;
    if (!is_required && refused.why.code == common::result_code::claims_unavailable) {
        record_decision(
            *item,
            common::log_part::claims,
            {"claim", item->placement.server.value(), "unavailable but not required", {}});
        item->chain->run(item);
        return;
    }
    fail_request(item, refused.why);
}

auto on_claim_end(const exchange_ptr& item, const claims::claim_result& end) -> void
{
    if (item->ended) {
        return;
    }
    if (const auto* granted = std::get_if<claims::claim_granted>(&end)) {
        on_granted(item, *granted);
    }
    else if (const auto* answered = std::get_if<claims::claim_answered>(&end)) {
        on_answered(item, *answered);
    }
    else if (const auto* refused = std::get_if<claims::claim_refused>(&end)) {
        on_refused(item, *refused);
    }
}

/// Claims the caller's idempotency key for this request and its target agent. The log decides
/// between copies of the request at several entries, so that only one of them is dispatched.
auto claim_key(const exchange_ptr& item) -> filter_step
{
    if (!item->headers.idempotency_key) {
        return filter_step::proceed;
    }
    const auto& hooks = item->context->hooks;
    if (!hooks.claim) {
        const auto why = common::make_error(common::result_code::claims_unavailable);
        on_refused(item, {why, std::nullopt});
        return filter_step::stop;
    }
    hooks.claim(make_claim_request(*item), item->deadline, [item](claims::claim_result end) {
        post(item, [end = std::move(end)](const exchange_ptr& self) { on_claim_end(self, end); });
    });
    return filter_step::stop;
}

} // namespace

auto make_claim() -> filter
{
    return {"claim", claim_key};
}

} // namespace reedramp::entry
