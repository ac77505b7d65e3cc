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

auto submit_for_rating(exchange& item, const messages::finished_event& finished) -> void
{
    if (!item.is_rated || finished.http_status != 200) {
        return;
    }
    if (item.response_text.empty()) {
        auto answer = agent::parse_engine_answer(finished.body);
        if (!answer) {
            return;
        }
        item.response_text = std::move(answer->text);
    }
    item.context->hooks.submit_for_rating(
        {item.id,
         item.organisation,
         item.headers.task,
         item.version,
         item.chat.question,
         std::move(item.response_text)});
}

/// Completes a streamed response from a complete one by sending the text that the caller doesn't
/// have yet. Fails if the complete text doesn't continue what was sent.
auto send_remaining(exchange& item, messages::finished_event& finished) -> common::result<void>
{
    if (finished.body.empty()) {
        send_final_events(item, finished);
        return {};
    }
    if (item.response == response_phase::none && finished.http_status != 200) {
        send_response(
            item, {finished.http_status, {{"Content-Type", finished.content_type}}, finished.body});
        return {};
    }
    const auto whole = agent::parse_engine_answer(finished.body);
    if (!whole || !item.tokens.can_continue() || !whole->text.starts_with(item.tokens.text())) {
        return common::failure(
            common::result_code::stream_broken,
            "the complete response does not continue the text that was sent");
    }
    const auto rest = std::string_view(whole->text).substr(item.tokens.text().size());
    if (!rest.empty()) {
        send_chunk(item, rest);
    }
    finished.finish_reason = whole->finish_reason;
    send_final_events(item, finished);
    return {};
}

auto recovery_input_of(const exchange& item, attempt_failure failure, common::result_code code)
    -> recovery_input
{
    recovery_input facts;
    facts.failure = failure;
    facts.code = code;
    facts.repeat = item.repeat;
    facts.is_stream_lost = item.tokens.sent() > 0 && !item.tokens.can_continue();
    facts.attempts = item.attempt.number.value();
    facts.attempt_limit = item.context->options.attempt_limit;
    facts.now = item.context->hooks.now();
    facts.deadline = item.deadline;
    facts.query_until = item.attempt.query_until;
    return facts;
}

auto attempt_end_of(attempt_failure failure) -> attempt_end
{
    switch (failure) {
    case attempt_failure::never_sent:
        return attempt_end::never_sent;
    case attempt_failure::refused:
        return attempt_end::refused;
    case attempt_failure::failed:
        return attempt_end::failed;
    case attempt_failure::unknown:
        return attempt_end::lost;
    }
    return attempt_end::lost;
}

/// Restarts the chain for another attempt, or fails the request if the retry budget is spent.
auto retry(const exchange_ptr& item, const common::error& why) -> void
{
    auto& context = *item->context;
    if (!context.retry_budget.try_acquire_retry()) {
        auto budget_error = common::make_error(common::result_code::retry_budget_spent);
        budget_error.detail = "after " + std::string(common::row_of(why.code).name);
        budget_error.run = why.run;
        budget_error.retry_at = why.retry_at;
        fail_request(item, std::move(budget_error));
        return;
    }
    ++context.counters.retries;
    if (item->tokens.sent() > 0) {
        ++context.counters.continued_streams;
    }
    record_decision(
        *item,
        common::log_part::entry,
        {"retry", item->placement.server.value(), std::string(common::row_of(why.code).name), {}});
    item->last_failure = why;
    if (why.code == common::result_code::already_refused) {
        // An entry with a copy of this request queried the attempt before it reached the agent,
        // which therefore refused it. The server is healthy, and may be the only one; the next
        // claim decides which copy holds the key.
        std::erase(item->tried_servers, item->placement.server);
    }
    if (why.code == common::result_code::version_withdrawn && item->tokens.sent() == 0) {
        item->refused_versions.push_back(item->version);
        item->tried_servers.clear();
        item->chain->restart_at(item, filter_names::version_choice);
        return;
    }
    item->chain->restart_at(item, filter_names::placement);
}

/// The error for an attempt whose outcome can't be determined.
auto unknown_outcome_error(const exchange& item, const common::error& why) -> common::error
{
    if (item.repeat == messages::repeat_rule::idempotent) {
        return why;
    }
    auto unknown_error = common::make_error(common::result_code::outcome_unknown);
    unknown_error.detail = "after " + std::string(common::row_of(why.code).name);
    return unknown_error;
}

} // namespace

auto report_attempt_end(const exchange& item, attempt_end end, common::result_code code) -> void
{
    const auto& hooks = item.context->hooks;
    if (!hooks.attempt_ended) {
        return;
    }
    attempt_report report;
    report.request = item.id;
    report.organisation = item.organisation;
    report.task = item.headers.task;
    report.kind = item.kind;
    report.version = item.version;
    report.server = item.placement.server;
    report.incarnation = item.placement.incarnation;
    report.end = end;
    report.code = code;
    report.elapsed = hooks.now() - item.attempt.started;
    if (!item.bill_lines.empty()) {
        report.used = item.bill_lines.back().used;
    }
    hooks.attempt_ended(report);
}

auto add_bill_line(exchange& item, const messages::usage& used) -> void
{
    messages::bill_line line;
    line.version = item.version;
    line.server = item.placement.server;
    line.used = used;
    line.cost = cost_of(*item.state, item.version, used);
    item.bill_lines.push_back(std::move(line));
}

auto observed_usage(const exchange& item) -> messages::usage
{
    messages::usage seen;
    seen.completion_tokens =
        common::token_count(item.tokens.sent() - item.attempt.first_token_index);
    return seen;
}

auto complete_attempt(const exchange_ptr& item, messages::finished_event finished) -> void
{
    add_bill_line(*item, finished.used);
    if (item->chat.stream) {
        if (auto sent = send_remaining(*item, finished); !sent) {
            fail_attempt(item, attempt_failure::failed, std::move(sent.error()));
            return;
        }
    }
    else {
        http::response response;
        response.status = finished.http_status;
        response.headers.push_back({"Content-Type", finished.content_type});
        response.body = finished.body;
        send_response(*item, std::move(response));
    }
    item->attempt.phase = attempt_phase::none;
    report_attempt_end(*item, attempt_end::answered, common::result_code::ok);
    ++item->context->counters.answered;
    if (!item->version.value().empty()) {
        item->context->counters.count_version(item->version);
    }
    submit_for_rating(*item, finished);
    drop_handle(*item);
    end_exchange(item, common::result_code::ok, common::execution::ran);
}

auto fail_attempt(const exchange_ptr& item, attempt_failure failure, common::error why) -> void
{
    if (failure == attempt_failure::unknown && item->attempt.phase == attempt_phase::running) {
        const auto now = item->context->hooks.now();
        const auto may_repeat = item->repeat == messages::repeat_rule::idempotent;
        item->attempt.query_until =
            may_repeat
                ? std::min(now + item->context->options.outcome_query_timeout, item->deadline)
                : item->deadline;
    }
    const auto step = choose_recovery(recovery_input_of(*item, failure, why.code));
    if (step == recovery_action::query_outcome) {
        item->attempt.loss_reason = std::move(why);
        query_outcome(item);
        return;
    }
    if (failure == attempt_failure::unknown) {
        add_bill_line(*item, observed_usage(*item));
        why = unknown_outcome_error(*item, why);
    }
    item->attempt.phase = attempt_phase::none;
    drop_handle(*item);
    report_attempt_end(*item, attempt_end_of(failure), why.code);
    if (why.code == common::result_code::version_withdrawn && item->pin) {
        why = common::make_error(common::result_code::session_ended, why.detail);
        fail_request(item, std::move(why));
        return;
    }
    if (step == recovery_action::give_up) {
        fail_request(item, std::move(why));
        return;
    }
    item->past_execution = combine_execution(item->past_execution, why.run);
    retry(item, why);
}

auto fail_request(const exchange_ptr& item, common::error why) -> void
{
    const auto is_overload = common::row_of(why.code).http_status == 503;
    if (is_overload && !why.retry_at) {
        const auto& context = *item->context;
        why.retry_at = context.hooks.now() + context.options.retry_after;
    }
    refuse(item, std::move(why));
}

auto on_deadline_passed(const exchange_ptr& item) -> void
{
    const auto phase = item->attempt.phase;
    if (item->ended || phase == attempt_phase::settling) {
        return;
    }
    auto why = common::make_error(common::result_code::deadline_passed);
    if (phase == attempt_phase::none) {
        why.run = common::execution::not_run;
        fail_request(item, std::move(why));
        return;
    }
    if (item->repeat == messages::repeat_rule::at_most_once) {
        why = common::make_error(
            common::result_code::outcome_unknown,
            "the deadline passed before the outcome was known");
    }
    why.run = common::execution::unknown;
    send_error(*item, why);
    settle_attempt(item, why.code, why.run);
}

auto on_caller_disconnected(const exchange_ptr& item) -> void
{
    if (item->ended || item->response == response_phase::ended) {
        return;
    }
    item->response = response_phase::ended;
    item->context->counters.count_refusal(common::result_code::cancelled);
    if (item->attempt.phase == attempt_phase::none) {
        end_exchange(item, common::result_code::cancelled, item->past_execution);
        return;
    }
    settle_attempt(item, common::result_code::cancelled, common::execution::unknown);
}

auto abort_exchange(const exchange_ptr& item) -> void
{
    if (item->ended) {
        return;
    }
    if (item->response != response_phase::ended) {
        ++item->context->counters.aborted_by_shutdown;
    }
    auto why = common::make_error(common::result_code::shutting_down);
    if (item->attempt.phase != attempt_phase::none) {
        why.run = common::execution::unknown;
        if (item->attempt.handle) {
            item->attempt.handle->cancel();
        }
        add_bill_line(*item, observed_usage(*item));
        drop_handle(*item);
    }
    why.run = combine_execution(why.run, item->past_execution);
    send_error(*item, why);
    end_exchange(item, why.code, why.run);
}

} // namespace reedramp::entry
