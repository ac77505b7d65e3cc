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

auto claim_of(const exchange& item) -> messages::claim_request
{
    messages::claim_request claim;
    claim.organisation = item.organisation;
    claim.key = claims::key_fingerprint(item.organisation, *item.headers.idempotency_key);
    claim.body = claims::body_fingerprint(item.asked.method, item.asked.target, item.asked.body);
    claim.request = item.id;
    claim.server = item.placed.server;
    claim.incarnation = item.placed.incarnation;
    claim.attempt = common::attempt_number(item.attempt.number.value() + 1);
    claim.version = item.version;
    if (item.claim_offset) {
        claim.replaces = *item.claim_offset;
    }
    return claim;
}

auto take_grant(const exchange_ptr& item, const claims::claim_granted& grant) -> void
{
    item->claim_offset = grant.offset;
    item->attempt.number = common::attempt_number(grant.claim.attempt.value() - 1);
    note_decision(
        *item, common::log_part::claims, {"claim", item->placed.server.value(), "won", {}});
    item->chain->run(item);
}

/// An earlier copy of the request has ended: its answer is the caller's, and its bill too. Readers
/// drop that bill if the entry that ran it has written it already.
auto take_answer(const exchange_ptr& item, const claims::claim_answered& answered) -> void
{
    note_decision(
        *item,
        common::log_part::claims,
        {"claim", answered.holder.server.value(), "answered before", {}});
    item->billed_as = answered.holder.request;
    item->version = answered.holder.version;
    item->placed.server = answered.holder.server;
    item->is_rated = false;
    if (answered.outcome.finished) {
        take_finished(item, *answered.outcome.finished);
        return;
    }
    add_bill_line(*item, answered.outcome.used);
    auto why = answered.outcome.why.value_or(common::make_error(
        common::result_code::duplicate_request, "it ran, and its answer is no longer kept"));
    why.run = common::execution::ran;
    give_up(item, std::move(why));
}

auto take_refusal(const exchange_ptr& item, const claims::claim_refused& refused) -> void
{
    const auto is_needed = item->repeat == messages::repeat_rule::at_most_once;
    if (!is_needed && refused.why.code == common::result_code::claims_unavailable) {
        note_decision(
            *item,
            common::log_part::claims,
            {"claim", item->placed.server.value(), "unavailable, not needed", {}});
        item->chain->run(item);
        return;
    }
    give_up(item, refused.why);
}

auto take_end(const exchange_ptr& item, const claims::claim_result& end) -> void
{
    if (item->ended) {
        return;
    }
    if (const auto* granted = std::get_if<claims::claim_granted>(&end)) {
        take_grant(item, *granted);
    }
    else if (const auto* answered = std::get_if<claims::claim_answered>(&end)) {
        take_answer(item, *answered);
    }
    else if (const auto* refused = std::get_if<claims::claim_refused>(&end)) {
        take_refusal(item, *refused);
    }
}

/// Claims the caller's idempotency key for this request and the agent that it is going to. The
/// log decides between copies of the request at several entries, so that only one is sent.
auto claim_key(const exchange_ptr& item) -> filter_step
{
    if (!item->headers.idempotency_key) {
        return filter_step::go_on;
    }
    const auto& parts = item->context->parts;
    if (!parts.claim) {
        const auto why = common::make_error(common::result_code::claims_unavailable);
        take_refusal(item, {why, std::nullopt});
        return filter_step::stop;
    }
    parts.claim(claim_of(*item), item->deadline, [item](claims::claim_result end) {
        post(item, [end = std::move(end)](const exchange_ptr& self) { take_end(self, end); });
    });
    return filter_step::stop;
}

} // namespace

auto make_claim() -> filter
{
    return {"claim", claim_key};
}

} // namespace reedramp::entry
