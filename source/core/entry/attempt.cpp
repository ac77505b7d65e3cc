#include "entry/attempt.hpp"

#include <algorithm>
#include <utility>

#include "agent/engine_protocol.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/prices.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

auto drop_handle(exchange& item) -> void
{
    item.attempt.handle.reset();
    item.attempt.paused = false;
}

auto rate(exchange& item, const messages::finished_event& finished) -> void
{
    if (!item.is_rated || finished.http_status != 200) {
        return;
    }
    if (item.answer_text.empty()) {
        auto answer = agent::parse_engine_answer(finished.body);
        if (!answer) {
            return;
        }
        item.answer_text = std::move(answer->text);
    }
    item.context->parts.rate(
        {item.id,
         item.organisation,
         item.headers.task,
         item.version,
         item.chat.question,
         std::move(item.answer_text)});
}

/// A whole answer for a caller who asked for a stream: what the caller does not have yet. Errors
/// when that does not continue what was sent.
auto send_rest(exchange& item, messages::finished_event& finished) -> common::result<void>
{
    if (finished.body.empty()) {
        send_ending(item, finished);
        return {};
    }
    if (item.answer == answer_phase::none && finished.http_status != 200) {
        send_answer(
            item, {finished.http_status, {{"Content-Type", finished.content_type}}, finished.body});
        return {};
    }
    const auto whole = agent::parse_engine_answer(finished.body);
    if (!whole || !item.tokens.can_continue() || !whole->text.starts_with(item.tokens.text())) {
        return common::failure(
            common::result_code::stream_broken, "the kept answer does not fit what was sent");
    }
    const auto rest = std::string_view(whole->text).substr(item.tokens.text().size());
    if (!rest.empty()) {
        send_piece(item, rest);
    }
    finished.finish_reason = whole->finish_reason;
    send_ending(item, finished);
    return {};
}

auto facts_of(const exchange& item, attempt_fate fate, common::result_code code) -> recovery_facts
{
    recovery_facts facts;
    facts.fate = fate;
    facts.code = code;
    facts.repeat = item.repeat;
    facts.stuck_stream = item.tokens.sent() > 0 && !item.tokens.can_continue();
    facts.attempts = item.attempt.number.value();
    facts.attempt_limit = item.context->options.attempt_limit;
    facts.now = item.context->parts.now();
    facts.deadline = item.deadline;
    facts.ask_until = item.attempt.ask_until;
    return facts;
}

auto end_of(attempt_fate fate) -> attempt_end
{
    switch (fate) {
    case attempt_fate::never_sent:
        return attempt_end::never_sent;
    case attempt_fate::refused:
        return attempt_end::refused;
    case attempt_fate::failed:
        return attempt_end::failed;
    case attempt_fate::unknown:
        return attempt_end::lost;
    }
    return attempt_end::lost;
}

/// Where the chain goes on after an attempt that may be followed by another one.
auto try_again(const exchange_ptr& item, const common::error& why) -> void
{
    auto& context = *item->context;
    if (!context.budget.try_acquire_retry()) {
        auto spent = common::make_error(common::result_code::retry_budget_spent);
        spent.detail = "after " + std::string(common::row_of(why.code).name);
        spent.run = why.run;
        spent.retry_at = why.retry_at;
        give_up(item, std::move(spent));
        return;
    }
    ++context.counted.retries;
    if (item->tokens.sent() > 0) {
        ++context.counted.continued_streams;
    }
    note_decision(
        *item,
        common::log_part::entry,
        {"retry", item->placed.server.value(), std::string(common::row_of(why.code).name), {}});
    item->last_failure = why;
    if (why.code == common::result_code::already_refused) {
        // Another entry with the same key asked about this attempt before it arrived. The server is
        // sound, and may be the only one; the next claim tells who holds the key now.
        std::erase(item->tried, item->placed.server);
    }
    if (why.code == common::result_code::version_withdrawn && item->tokens.sent() == 0) {
        item->refused_versions.push_back(item->version);
        item->tried.clear();
        item->chain->restart_at(item, filter_names::version_choice);
        return;
    }
    item->chain->restart_at(item, filter_names::placement);
}

/// What a caller is told of an attempt whose outcome nobody can tell.
auto unknown_outcome(const exchange& item, const common::error& why) -> common::error
{
    if (item.repeat == messages::repeat_rule::idempotent) {
        return why;
    }
    auto told = common::make_error(common::result_code::outcome_unknown);
    told.detail = "after " + std::string(common::row_of(why.code).name);
    return told;
}

} // namespace

auto report_end(const exchange& item, attempt_end end, common::result_code code) -> void
{
    const auto& parts = item.context->parts;
    if (!parts.attempt_ended) {
        return;
    }
    attempt_report report;
    report.request = item.id;
    report.organisation = item.organisation;
    report.task = item.headers.task;
    report.kind = item.kind;
    report.version = item.version;
    report.server = item.placed.server;
    report.incarnation = item.placed.incarnation;
    report.end = end;
    report.code = code;
    report.took = parts.now() - item.attempt.started;
    if (!item.lines.empty()) {
        report.used = item.lines.back().used;
    }
    parts.attempt_ended(report);
}

auto add_bill_line(exchange& item, const messages::usage& used) -> void
{
    messages::bill_line line;
    line.version = item.version;
    line.server = item.placed.server;
    line.used = used;
    line.cost = cost_of(*item.state, item.version, used);
    item.lines.push_back(std::move(line));
}

auto seen_usage(const exchange& item) -> messages::usage
{
    messages::usage seen;
    seen.completion_tokens = common::token_count(item.tokens.sent() - item.attempt.first_token);
    return seen;
}

auto take_finished(const exchange_ptr& item, messages::finished_event finished) -> void
{
    add_bill_line(*item, finished.used);
    if (item->chat.stream) {
        if (auto sent = send_rest(*item, finished); !sent) {
            lose_attempt(item, attempt_fate::failed, std::move(sent.error()));
            return;
        }
    }
    else {
        http::response answer;
        answer.status = finished.http_status;
        answer.headers.push_back({"Content-Type", finished.content_type});
        answer.body = finished.body;
        send_answer(*item, std::move(answer));
    }
    item->attempt.phase = attempt_phase::none;
    report_end(*item, attempt_end::answered, common::result_code::ok);
    ++item->context->counted.answered;
    if (!item->version.value().empty()) {
        item->context->counted.count_version(item->version);
    }
    rate(*item, finished);
    drop_handle(*item);
    end_exchange(item, common::result_code::ok, common::execution::ran);
}

auto lose_attempt(const exchange_ptr& item, attempt_fate fate, common::error why) -> void
{
    if (fate == attempt_fate::unknown && item->attempt.phase == attempt_phase::running) {
        const auto now = item->context->parts.now();
        const auto may_repeat = item->repeat == messages::repeat_rule::idempotent;
        item->attempt.ask_until =
            may_repeat ? std::min(now + item->context->options.ask_limit, item->deadline)
                       : item->deadline;
    }
    const auto step = next_step(facts_of(*item, fate, why.code));
    if (step == recovery_step::ask) {
        item->attempt.lost = std::move(why);
        ask_outcome(item);
        return;
    }
    if (fate == attempt_fate::unknown) {
        add_bill_line(*item, seen_usage(*item));
        why = unknown_outcome(*item, why);
    }
    item->attempt.phase = attempt_phase::none;
    drop_handle(*item);
    report_end(*item, end_of(fate), why.code);
    if (why.code == common::result_code::version_withdrawn && item->pin) {
        why = common::make_error(common::result_code::session_ended, why.detail);
        give_up(item, std::move(why));
        return;
    }
    if (step == recovery_step::give_up) {
        give_up(item, std::move(why));
        return;
    }
    item->past = together(item->past, why.run);
    try_again(item, why);
}

auto give_up(const exchange_ptr& item, common::error why) -> void
{
    const auto is_overload = common::row_of(why.code).http_status == 503;
    if (is_overload && !why.retry_at) {
        const auto& context = *item->context;
        why.retry_at = context.parts.now() + context.options.retry_after;
    }
    refuse(item, std::move(why));
}

auto pass_deadline(const exchange_ptr& item) -> void
{
    const auto phase = item->attempt.phase;
    if (item->ended || phase == attempt_phase::settling) {
        return;
    }
    auto why = common::make_error(common::result_code::deadline_passed);
    if (phase == attempt_phase::none) {
        why.run = common::execution::not_run;
        give_up(item, std::move(why));
        return;
    }
    if (item->repeat == messages::repeat_rule::at_most_once) {
        why = common::make_error(common::result_code::outcome_unknown, "the deadline has passed");
    }
    why.run = common::execution::unknown;
    send_error(*item, why);
    settle(item, why.code, why.run);
}

auto leave_caller(const exchange_ptr& item) -> void
{
    if (item->ended || item->answer == answer_phase::ended) {
        return;
    }
    item->answer = answer_phase::ended;
    item->context->counted.count_refusal(common::result_code::cancelled);
    if (item->attempt.phase == attempt_phase::none) {
        end_exchange(item, common::result_code::cancelled, item->past);
        return;
    }
    settle(item, common::result_code::cancelled, common::execution::unknown);
}

auto cut_exchange(const exchange_ptr& item) -> void
{
    if (item->ended) {
        return;
    }
    if (item->answer != answer_phase::ended) {
        ++item->context->counted.cut_by_shutdown;
    }
    auto why = common::make_error(common::result_code::shutting_down);
    if (item->attempt.phase != attempt_phase::none) {
        why.run = common::execution::unknown;
        if (item->attempt.handle) {
            item->attempt.handle->cancel();
        }
        add_bill_line(*item, seen_usage(*item));
        drop_handle(*item);
    }
    why.run = together(why.run, item->past);
    send_error(*item, why);
    end_exchange(item, why.code, why.run);
}

} // namespace reedramp::entry
