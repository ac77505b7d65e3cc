#include <algorithm>

#include "common/log.hpp"
#include "entry/attempt.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

/// Between two looks for a server of a session's version.
constexpr auto look_interval = std::chrono::milliseconds(200);

auto question_of(const exchange& item) -> placement_question
{
    placement_question question;
    question.request = item.id;
    question.kind = item.kind;
    question.version = item.version;
    question.service = item.where.service;
    if (item.pin) {
        question.session = item.pin->session;
    }
    question.prefix_hash = item.chat.prefix_hash;
    question.deadline = item.deadline;
    question.tried = item.tried;
    return question;
}

/// A session can't go to another version, so it waits for a server of its own while there is none.
/// Any other request is told at once.
auto may_wait(const exchange& item, common::time_point now) -> bool
{
    const auto wait_until = item.arrived + item.context->options.session_wait;
    return item.pin && item.kind == messages::work_kind::chat && item.tried.empty() &&
           now + look_interval < std::min(wait_until, item.deadline);
}

auto take_decision(const exchange_ptr& item, const common::result<placement_decision>& decision)
    -> void
{
    if (item->ended) {
        return;
    }
    const auto& parts = item->context->parts;
    const auto now = parts.now();
    if (decision) {
        item->placed = *decision;
        note_decision(
            *item,
            common::log_part::place,
            {"server", decision->server.value(), decision->reason, decision->runner_up.value()});
        item->chain->run(item);
        return;
    }
    if (may_wait(*item, now)) {
        parts.timer(now + look_interval, [weak = std::weak_ptr<exchange>(item)] {
            if (const auto self = weak.lock()) {
                post(self, [](const exchange_ptr& again) {
                    again->chain->restart_at(again, filter_names::placement);
                });
            }
        });
        return;
    }
    // What the last server said tells a caller more than that there is no other one.
    give_up(item, item->last_failure.value_or(decision.error()));
}

auto place(const exchange_ptr& item) -> filter_step
{
    item->context->parts.place(
        question_of(*item), [item](common::result<placement_decision> decision) {
            post(item, [decision = std::move(decision)](const exchange_ptr& self) {
                take_decision(self, decision);
            });
        });
    return filter_step::stop;
}

} // namespace

auto make_placement() -> filter
{
    return {filter_names::placement, place};
}

} // namespace reedramp::entry
