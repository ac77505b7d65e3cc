#include <utility>
#include <variant>

#include "entry/attempt.hpp"
#include "entry/context.hpp"
#include "entry/filter.hpp"
#include "entry/reply.hpp"

namespace reedramp::entry {

namespace {

auto make_run_request(const exchange& item) -> messages::run_request
{
    messages::run_request request;
    request.key = item.attempt.key;
    request.kind = item.kind;
    request.repeat = item.repeat;
    if (item.headers.idempotency_key) {
        // The agent stores the responses of `at_most_once` runs and finishes them even if the
        // caller disconnects, so that a retry with the same key gets the response.
        request.repeat = messages::repeat_rule::at_most_once;
    }
    request.organisation = item.organisation;
    request.task = item.headers.task;
    request.model = item.model;
    request.version = item.version;
    request.service = item.matched_route.service;
    if (item.pin) {
        request.session = item.pin->session;
    }
    request.time_left = item.deadline - item.attempt.started;
    request.priority = item.chat.priority;
    request.configuration = item.state->offset;
    request.stream = item.chat.stream;
    request.max_tokens = item.chat.max_tokens;
    request.method = item.request.method;
    request.path = item.matched_route.path;
    request.body = item.request.body;
    const auto type = http::find_header(item.request.headers, "Content-Type");
    request.content_type = type ? std::string(*type) : std::string();
    if (item.tokens.sent() > 0) {
        request.sent_text = item.tokens.text();
        request.sent_tokens = common::token_count(item.tokens.sent());
    }
    return request;
}

/// Pauses the run while the backlog on the caller's connection is high. Otherwise the whole
/// response to a slow caller would be buffered in this process. Aborts the response if the backlog
/// exceeds its limit.
auto apply_backpressure(const exchange_ptr& item) -> void
{
    const auto& options = item->context->options;
    const auto backlog = item->responder->backlog();
    if (backlog > options.backlog_limit_bytes) {
        item->responder->abort();
        on_caller_disconnected(item);
        return;
    }
    if (item->attempt.paused || backlog <= options.backlog_high_bytes) {
        return;
    }
    item->attempt.paused = true;
    item->attempt.handle->pause();
    const auto number = item->attempt.number;
    item->responder->when_drained(
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

auto on_tokens(const exchange_ptr& item, const messages::tokens_event& chunk) -> void
{
    switch (item->tokens.accept(chunk)) {
    case token_check::repeated:
        ++item->context->counters.late_events;
        return;
    case token_check::gap:
        item->attempt.handle->cancel();
        add_bill_line(*item, observed_usage(*item));
        fail_attempt(
            item,
            attempt_failure::failed,
            common::make_error(
                common::result_code::stream_broken, "tokens are missing from the stream"));
        return;
    case token_check::next:
        break;
    }
    if (item->is_rated) {
        item->response_text += chunk.text;
    }
    send_chunk(*item, chunk.text);
    apply_backpressure(item);
}

auto on_refused(const exchange_ptr& item, messages::refused_event refused) -> void
{
    if (refused.retry_after > common::duration::zero()) {
        refused.why.retry_at = item->context->hooks.now() + refused.retry_after;
    }
    refused.why.run = common::execution::not_run;
    fail_attempt(item, attempt_failure::refused, std::move(refused.why));
}

auto on_failed(const exchange_ptr& item, messages::failed_event failed) -> void
{
    switch (failed.why.run) {
    case common::execution::not_run:
        fail_attempt(item, attempt_failure::never_sent, std::move(failed.why));
        return;
    case common::execution::ran:
        add_bill_line(*item, failed.used);
        fail_attempt(item, attempt_failure::failed, std::move(failed.why));
        return;
    case common::execution::unknown:
        fail_attempt(item, attempt_failure::unknown, std::move(failed.why));
        return;
    }
}

/// Handles an event of a run. Events of an earlier attempt or an ended exchange are dropped,
/// because the caller may already have those tokens from a later attempt.
auto on_event(const exchange_ptr& item, common::attempt_number number, messages::run_event event)
    -> void
{
    const auto is_current =
        item->attempt.phase == attempt_phase::running && item->attempt.number == number;
    if (item->ended || !is_current) {
        ++item->context->counters.late_events;
        return;
    }
    if (auto* chunk = std::get_if<messages::tokens_event>(&event)) {
        on_tokens(item, *chunk);
    }
    else if (auto* finished = std::get_if<messages::finished_event>(&event)) {
        complete_attempt(item, std::move(*finished));
    }
    else if (auto* refused = std::get_if<messages::refused_event>(&event)) {
        on_refused(item, std::move(*refused));
    }
    else if (auto* failed = std::get_if<messages::failed_event>(&event)) {
        on_failed(item, std::move(*failed));
    }
}

auto report_attempt_start(const exchange& item) -> void
{
    const auto& hooks = item.context->hooks;
    if (!hooks.attempt_started) {
        return;
    }
    attempt_report report;
    report.request = item.id;
    report.organisation = item.organisation;
    report.kind = item.kind;
    report.version = item.version;
    report.server = item.placement.server;
    report.incarnation = item.placement.incarnation;
    hooks.attempt_started(report);
}

auto dispatch(const exchange_ptr& item) -> filter_step
{
    auto& context = *item->context;
    auto& attempt = item->attempt;
    const auto now = context.hooks.now();
    if (now >= item->deadline) {
        on_deadline_passed(item);
        return filter_step::stop;
    }
    if (attempt.number.value() == 0) {
        context.retry_budget.record_first_attempt();
        const auto every = context.options.rate_every;
        item->is_rated = context.hooks.submit_for_rating &&
                         item->kind == messages::work_kind::chat && every > 0 &&
                         context.hooks.random() % every == 0;
    }
    attempt.number = common::attempt_number(attempt.number.value() + 1);
    attempt.phase = attempt_phase::running;
    attempt.key = {item->id, attempt.number, item->placement.incarnation};
    attempt.started = now;
    attempt.paused = false;
    attempt.first_token_index = item->tokens.sent();
    item->tried_servers.push_back(item->placement.server);
    report_attempt_start(*item);
    attempt.handle = context.hooks.agents.run(
        item->placement.address,
        make_run_request(*item),
        // The sink holds a weak reference: the exchange owns the handle, and the handle its sink,
        // so a strong one would form a cycle. The registry keeps the exchange alive until it has
        // ended.
        [weak = std::weak_ptr<exchange>(item), shared = item->context, number = attempt.number](
            messages::run_event event) {
            const auto self = weak.lock();
            if (!self) {
                ++shared->counters.late_events;
                return;
            }
            post(self, [number, event = std::move(event)](const exchange_ptr& present) mutable {
                on_event(present, number, std::move(event));
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
