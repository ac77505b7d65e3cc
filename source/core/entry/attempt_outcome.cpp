#include <utility>

#include "entry/attempt.hpp"
#include "entry/context.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

using outcome = common::result<messages::outcome_answer>;

/// The outcome can't be determined, or not in time.
auto fail_as_unknown(const exchange_ptr& item) -> void
{
    item->attempt.query_until = item->context->hooks.now();
    fail_attempt(item, attempt_failure::unknown, item->attempt.loss_reason);
}

auto schedule_outcome_query(const exchange_ptr& item) -> void
{
    const auto& context = *item->context;
    const auto when = context.hooks.now() + context.options.outcome_query_interval;
    if (when >= item->attempt.query_until) {
        fail_as_unknown(item);
        return;
    }
    context.hooks.timer(
        when, [weak = std::weak_ptr<exchange>(item), number = item->attempt.number] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            post(self, [number](const exchange_ptr& again) {
                const auto is_querying = again->attempt.phase == attempt_phase::querying_outcome;
                if (!again->ended && is_querying && again->attempt.number == number) {
                    query_outcome(again);
                }
            });
        });
}

/// The agent did not answer the query. A request that may run twice is retried without waiting. For
/// any other, the query is repeated until the deadline, unless the agent instance that ran it no
/// longer exists.
auto on_outcome_unavailable(const exchange_ptr& item, const common::error& why) -> void
{
    const auto is_gone = why.code == common::result_code::wrong_incarnation ||
                         why.code == common::result_code::not_found;
    if (is_gone || item->repeat == messages::repeat_rule::idempotent) {
        fail_as_unknown(item);
        return;
    }
    schedule_outcome_query(item);
}

auto on_outcome_finished(const exchange_ptr& item, messages::outcome_answer answer) -> void
{
    if (answer.finished && (!answer.finished->body.empty() || !item->chat.stream)) {
        complete_attempt(item, std::move(*answer.finished));
        return;
    }
    add_bill_line(*item, answer.used);
    auto why = item->attempt.loss_reason;
    why.run = common::execution::ran;
    why.detail = "the request ran, but its response is lost";
    fail_attempt(item, attempt_failure::failed, std::move(why));
}

/// Reason that the agent recorded for the end of the attempt. An agent that loses the connection to
/// its entry assumes that the caller has disconnected, and cancels. But this caller is still
/// connected, so the reason is the connection loss, after which the request may be retried;
/// `cancelled` would end the request.
auto failure_reason(const exchange& item, const messages::outcome_answer& answer) -> common::error
{
    const auto is_cancelled = answer.why && answer.why->code == common::result_code::cancelled;
    return answer.why && !is_cancelled ? *answer.why : item.attempt.loss_reason;
}

auto apply_outcome(const exchange_ptr& item, messages::outcome_answer answer) -> void
{
    switch (answer.state) {
    case messages::outcome_state::refused: {
        auto why = failure_reason(*item, answer);
        why.run = common::execution::not_run;
        fail_attempt(item, attempt_failure::refused, std::move(why));
        return;
    }
    case messages::outcome_state::finished:
        on_outcome_finished(item, std::move(answer));
        return;
    case messages::outcome_state::failed: {
        add_bill_line(*item, answer.used);
        auto why = failure_reason(*item, answer);
        why.run = common::execution::ran;
        fail_attempt(item, attempt_failure::failed, std::move(why));
        return;
    }
    case messages::outcome_state::unknown:
    case messages::outcome_state::queued:
    case messages::outcome_state::running:
        schedule_outcome_query(item);
        return;
    }
}

auto finish_settlement(
    const exchange_ptr& item,
    const outcome& answer,
    common::result_code code,
    common::execution run) -> void
{
    if (item->ended) {
        return;
    }
    const auto was_refused = answer && answer->state == messages::outcome_state::refused;
    const auto is_known = answer && (answer->state == messages::outcome_state::finished ||
                                     answer->state == messages::outcome_state::failed);
    if (!was_refused) {
        add_bill_line(*item, is_known ? answer->used : observed_usage(*item));
    }
    item->attempt.phase = attempt_phase::none;
    report_attempt_end(*item, attempt_end::cancelled, code);
    end_exchange(item, code, run);
}

} // namespace

auto query_outcome(const exchange_ptr& item) -> void
{
    item->attempt.phase = attempt_phase::querying_outcome;
    item->attempt.handle.reset();
    item->context->hooks.agents.ask(
        item->placement.address,
        {item->attempt.key, true},
        [item, number = item->attempt.number](outcome answer) {
            post(item, [number, answer = std::move(answer)](const exchange_ptr& self) mutable {
                const auto is_current = self->attempt.phase == attempt_phase::querying_outcome &&
                                        self->attempt.number == number;
                if (self->ended || !is_current) {
                    return;
                }
                if (!answer) {
                    on_outcome_unavailable(self, answer.error());
                    return;
                }
                apply_outcome(self, std::move(*answer));
            });
        });
}

auto settle_attempt(const exchange_ptr& item, common::result_code code, common::execution run)
    -> void
{
    const auto& context = *item->context;
    item->attempt.phase = attempt_phase::settling;
    if (item->attempt.handle) {
        item->attempt.handle->cancel();
        item->attempt.handle.reset();
    }
    const auto finish = [item, code, run](outcome answer) {
        post(item, [code, run, answer = std::move(answer)](const exchange_ptr& self) {
            finish_settlement(self, answer, code, run);
        });
    };
    context.hooks.agents.ask(item->placement.address, {item->attempt.key, true}, finish);
    context.hooks.timer(context.hooks.now() + context.options.outcome_query_timeout, [finish] {
        finish(common::failure(common::result_code::peer_unavailable));
    });
}

} // namespace reedramp::entry
