#include <utility>

#include "entry/attempt.hpp"
#include "entry/context.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

using outcome = common::result<messages::outcome_answer>;

/// Nobody can tell, or not in time.
auto stay_unknown(const exchange_ptr& item) -> void
{
    item->attempt.ask_until = item->context->parts.now();
    lose_attempt(item, attempt_fate::unknown, item->attempt.lost);
}

auto ask_later(const exchange_ptr& item) -> void
{
    const auto& context = *item->context;
    const auto when = context.parts.now() + context.options.ask_interval;
    if (when >= item->attempt.ask_until) {
        stay_unknown(item);
        return;
    }
    context.parts.timer(
        when, [weak = std::weak_ptr<exchange>(item), number = item->attempt.number] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            post(self, [number](const exchange_ptr& again) {
                const auto is_asking = again->attempt.phase == attempt_phase::asking;
                if (!again->ended && is_asking && again->attempt.number == number) {
                    ask_outcome(again);
                }
            });
        });
}

/// The agent did not answer. A request that may run twice does not wait for it. One that may not
/// is asked about until the deadline, unless the agent that knew is gone for good.
auto miss_outcome(const exchange_ptr& item, const common::error& why) -> void
{
    const auto is_gone = why.code == common::result_code::wrong_incarnation ||
                         why.code == common::result_code::not_found;
    if (is_gone || item->repeat == messages::repeat_rule::idempotent) {
        stay_unknown(item);
        return;
    }
    ask_later(item);
}

auto take_kept(const exchange_ptr& item, messages::outcome_answer answer) -> void
{
    if (answer.finished && (!answer.finished->body.empty() || !item->chat.stream)) {
        take_finished(item, std::move(*answer.finished));
        return;
    }
    add_bill_line(*item, answer.used);
    auto why = item->attempt.lost;
    why.run = common::execution::ran;
    why.detail = "it ran, and its answer is lost";
    lose_attempt(item, attempt_fate::failed, std::move(why));
}

/// Why the attempt ended, as its agent recorded it. An agent that loses the connection to its entry
/// takes the caller for gone and cancels. This caller is still there: the reason is the loss, after
/// which the request may be tried elsewhere; "cancelled" would be its end.
auto reason_of(const exchange& item, const messages::outcome_answer& answer) -> common::error
{
    const auto is_cancelled = answer.why && answer.why->code == common::result_code::cancelled;
    return answer.why && !is_cancelled ? *answer.why : item.attempt.lost;
}

auto take_outcome(const exchange_ptr& item, messages::outcome_answer answer) -> void
{
    switch (answer.state) {
    case messages::outcome_state::refused: {
        auto why = reason_of(*item, answer);
        why.run = common::execution::not_run;
        lose_attempt(item, attempt_fate::refused, std::move(why));
        return;
    }
    case messages::outcome_state::finished:
        take_kept(item, std::move(answer));
        return;
    case messages::outcome_state::failed: {
        add_bill_line(*item, answer.used);
        auto why = reason_of(*item, answer);
        why.run = common::execution::ran;
        lose_attempt(item, attempt_fate::failed, std::move(why));
        return;
    }
    case messages::outcome_state::unknown:
    case messages::outcome_state::queued:
    case messages::outcome_state::running:
        ask_later(item);
        return;
    }
}

auto finish_settling(
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
        add_bill_line(*item, is_known ? answer->used : seen_usage(*item));
    }
    item->attempt.phase = attempt_phase::none;
    report_end(*item, attempt_end::cancelled, code);
    end_exchange(item, code, run);
}

} // namespace

auto ask_outcome(const exchange_ptr& item) -> void
{
    item->attempt.phase = attempt_phase::asking;
    item->attempt.handle.reset();
    item->context->parts.agents.ask(
        item->placed.address,
        {item->attempt.key, true},
        [item, number = item->attempt.number](outcome answer) {
            post(item, [number, answer = std::move(answer)](const exchange_ptr& self) mutable {
                const auto is_present =
                    self->attempt.phase == attempt_phase::asking && self->attempt.number == number;
                if (self->ended || !is_present) {
                    return;
                }
                if (!answer) {
                    miss_outcome(self, answer.error());
                    return;
                }
                take_outcome(self, std::move(*answer));
            });
        });
}

auto settle(const exchange_ptr& item, common::result_code code, common::execution run) -> void
{
    const auto& context = *item->context;
    item->attempt.phase = attempt_phase::settling;
    if (item->attempt.handle) {
        item->attempt.handle->cancel();
        item->attempt.handle.reset();
    }
    const auto finish = [item, code, run](outcome answer) {
        post(item, [code, run, answer = std::move(answer)](const exchange_ptr& self) {
            finish_settling(self, answer, code, run);
        });
    };
    context.parts.agents.ask(item->placed.address, {item->attempt.key, true}, finish);
    context.parts.timer(context.parts.now() + context.options.ask_limit, [finish] {
        finish(common::failure(common::result_code::peer_unavailable));
    });
}

} // namespace reedramp::entry
