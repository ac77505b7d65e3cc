#include <utility>
#include <variant>

#include "entry/attempt.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

auto run_request_of(const exchange& item) -> messages::run_request
{
    messages::run_request request;
    request.key = item.attempt.key;
    request.kind = item.kind;
    request.repeat = item.repeat;
    if (item.headers.idempotency_key) {
        // The agent keeps the answers of such runs, and finishes them when the caller leaves: a
        // retry with the key gets that answer.
        request.repeat = messages::repeat_rule::at_most_once;
    }
    request.organisation = item.organisation;
    request.task = item.headers.task;
    request.model = item.model;
    request.version = item.version;
    request.service = item.where.service;
    if (item.pin) {
        request.session = item.pin->session;
    }
    request.time_left = item.deadline - item.attempt.started;
    request.priority = item.chat.priority;
    request.configuration = item.state->offset;
    request.stream = item.chat.stream;
    request.max_tokens = item.chat.max_tokens;
    request.method = item.asked.method;
    request.path = item.where.path;
    request.body = item.asked.body;
    const auto type = http::find_header(item.asked.headers, "Content-Type");
    request.content_type = type ? std::string(*type) : std::string();
    if (item.tokens.sent() > 0) {
        request.sent_text = item.tokens.text();
        request.sent_tokens = common::token_count(item.tokens.sent());
    }
    return request;
}

/// Stops the source while the caller's connection has much to send. Without it, a slow caller's
/// whole answer would wait in this process's memory.
auto hold_back(const exchange_ptr& item) -> void
{
    const auto& options = item->context->options;
    const auto backlog = item->out->backlog();
    if (backlog > options.backlog_limit_bytes) {
        item->out->abort();
        leave_caller(item);
        return;
    }
    if (item->attempt.paused || backlog <= options.backlog_high_bytes) {
        return;
    }
    item->attempt.paused = true;
    item->attempt.handle->pause();
    const auto number = item->attempt.number;
    item->out->when_drained(
        options.backlog_low_bytes, [weak = std::weak_ptr<exchange>(item), number] {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            post(self, [number](const exchange_ptr& drained) {
                auto& attempt = drained->attempt;
                if (!attempt.paused || attempt.number != number || attempt.handle == nullptr) {
                    return;
                }
                attempt.paused = false;
                attempt.handle->resume();
            });
        });
}

auto take_tokens(const exchange_ptr& item, const messages::tokens_event& piece) -> void
{
    switch (item->tokens.take(piece)) {
    case token_check::repeated:
        ++item->context->counted.late_events;
        return;
    case token_check::gap:
        item->attempt.handle->cancel();
        add_bill_line(*item, seen_usage(*item));
        lose_attempt(
            item,
            attempt_fate::failed,
            common::make_error(common::result_code::stream_broken, "tokens are missing"));
        return;
    case token_check::next:
        break;
    }
    if (item->is_rated) {
        item->answer_text += piece.text;
    }
    send_piece(*item, piece.text);
    hold_back(item);
}

auto take_refusal(const exchange_ptr& item, messages::refused_event refused) -> void
{
    if (refused.retry_after > common::duration::zero()) {
        refused.why.retry_at = item->context->parts.now() + refused.retry_after;
    }
    refused.why.run = common::execution::not_run;
    lose_attempt(item, attempt_fate::refused, std::move(refused.why));
}

auto take_failure(const exchange_ptr& item, messages::failed_event failed) -> void
{
    switch (failed.why.run) {
    case common::execution::not_run:
        lose_attempt(item, attempt_fate::never_sent, std::move(failed.why));
        return;
    case common::execution::ran:
        add_bill_line(*item, failed.used);
        lose_attempt(item, attempt_fate::failed, std::move(failed.why));
        return;
    case common::execution::unknown:
        lose_attempt(item, attempt_fate::unknown, std::move(failed.why));
        return;
    }
}

/// An event of an attempt that is no longer the present one, or of an ended exchange, is dropped:
/// the caller may have those tokens from a later attempt already.
auto take_event(const exchange_ptr& item, common::attempt_number number, messages::run_event event)
    -> void
{
    const auto is_present =
        item->attempt.phase == attempt_phase::running && item->attempt.number == number;
    if (item->ended || !is_present) {
        ++item->context->counted.late_events;
        return;
    }
    if (auto* piece = std::get_if<messages::tokens_event>(&event)) {
        take_tokens(item, *piece);
    }
    else if (auto* finished = std::get_if<messages::finished_event>(&event)) {
        take_finished(item, std::move(*finished));
    }
    else if (auto* refused = std::get_if<messages::refused_event>(&event)) {
        take_refusal(item, std::move(*refused));
    }
    else if (auto* failed = std::get_if<messages::failed_event>(&event)) {
        take_failure(item, std::move(*failed));
    }
}

auto report_start(const exchange& item) -> void
{
    const auto& parts = item.context->parts;
    if (!parts.attempt_started) {
        return;
    }
    attempt_report report;
    report.request = item.id;
    report.organisation = item.organisation;
    report.kind = item.kind;
    report.version = item.version;
    report.server = item.placed.server;
    report.incarnation = item.placed.incarnation;
    parts.attempt_started(report);
}

auto dispatch(const exchange_ptr& item) -> filter_step
{
    auto& context = *item->context;
    auto& attempt = item->attempt;
    const auto now = context.parts.now();
    if (now >= item->deadline) {
        pass_deadline(item);
        return filter_step::stop;
    }
    if (attempt.number.value() == 0) {
        context.budget.record_first_attempt();
        const auto every = context.options.rate_every;
        item->is_rated = context.parts.rate && item->kind == messages::work_kind::chat &&
                         every > 0 && context.parts.random() % every == 0;
    }
    attempt.number = common::attempt_number(attempt.number.value() + 1);
    attempt.phase = attempt_phase::running;
    attempt.key = {item->id, attempt.number, item->placed.incarnation};
    attempt.started = now;
    attempt.paused = false;
    attempt.first_token = item->tokens.sent();
    item->tried.push_back(item->placed.server);
    report_start(*item);
    attempt.handle = context.parts.agents.run(
        item->placed.address,
        run_request_of(*item),
        // The registry keeps the exchange until it has ended; a handle that kept its own sink, and
        // through it the exchange that holds the handle, would never go.
        [weak = std::weak_ptr<exchange>(item), shared = item->context, number = attempt.number](
            messages::run_event event) {
            const auto self = weak.lock();
            if (!self) {
                ++shared->counted.late_events;
                return;
            }
            post(self, [number, event = std::move(event)](const exchange_ptr& present) mutable {
                take_event(present, number, std::move(event));
            });
        });
    return filter_step::stop;
}

} // namespace

auto make_dispatch() -> filter
{
    return {"dispatch", dispatch};
}

} // namespace reedramp::entry
