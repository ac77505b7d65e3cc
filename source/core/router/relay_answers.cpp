#include <charconv>
#include <utility>

#include "common/log.hpp"
#include "router/log_fields.hpp"
#include "router/relay.hpp"
#include "router/status_codes.hpp"
#include "routing/model_choice.hpp"

/// Part of `relay` that handles servers' responses.
namespace reedramp::router {

using common::execution;
using common::result_code;
using routing::attempt_end;
using routing::server_outcome;

namespace {

/// Returns -1 for text that does not start with a number.
auto parse_confidence(std::string_view text) -> int
{
    int value = -1;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Enough pauses that one prompt processed at the same time matters little.
constexpr std::int64_t enough_events = 7;

} // namespace

auto relay::on_head(const std::shared_ptr<attempt>& of, const http::response& head) -> void
{
    if (of->ended) {
        return;
    }
    const auto judged = judge_head(head, this->core->options.names, this->request.caller.attempt);
    const bool is_own = judged.echoed == echoed_attempt::own;
    if (is_own) {
        this->settle_retry(of->permit);
    }
    of->head_verdict = judged.what;
    of->echoed = judged.echoed;
    if (of->head_verdict == verdict::success) {
        const auto took = milliseconds_between(of->sent, this->core->hooks.clock());
        this->core->speeds[this->service].note(of->server, took, of->work_ahead);
        // The head of another response comes when its answer is whole.
        if (this->is_stream() && !of->is_cold && of->prompt_work > 0.0) {
            this->core->first_events[this->service].note(of->prompt_work, took);
        }
    }
    if (is_own && head.status != status::misdirected) {
        of->directives = read_server_directives(head, this->core->options.names);
        this->apply_directives(*of);
        if (of->head_verdict != verdict::untrusted) {
            const bool is_refusal = of->head_verdict == verdict::not_executed;
            of->stated_load = this->core->apply_load(
                {this->service, of->server, of->work},
                head,
                is_refusal,
                this->request.caller.attempt);
        }
    }
    of->head = make_caller_response(head);
    of->last_progress = this->core->hooks.clock();
    if (of->head_verdict == verdict::untrusted) {
        // Further bytes could belong to yet another request.
        this->log_untrusted(*of, judged);
        this->abandon(of, attempt_end::unknown, server_outcome::failed);
        this->retry(result_code::outcome_unknown);
        return;
    }
    if (of->head_verdict == verdict::not_executed && head.status == status::misdirected) {
        // Another server has the address now, so the intended one has ended.
        this->core->servers.remove_replaced(of->server, this->core->hooks.clock());
        // The request may go to the address's present server next. On the same connection, a second
        // copy of this response would be taken for that server's.
        this->cancel_call();
        this->on_refusal(of);
        return;
    }
    if (of->head_verdict == verdict::success && this->is_stream() && !this->ask_larger_model(of)) {
        of->events.emplace(this->last_event);
    }
}

auto relay::apply_directives(const attempt& of) const -> void
{
    const auto& directives = of.directives;
    if (directives.is_leaving) {
        this->core->apply_leaving(of.server, this->request.caller.attempt);
    }
    if (directives.backoff) {
        this->core->apply_backoff(of.server, *directives.backoff);
    }
    if (of.head_verdict == verdict::untrusted) {
        return;
    }
    // A refusal may come from a proxy in front of the server, so a missing limit does not lift one.
    if (of.head_verdict != verdict::not_executed || directives.limit ||
        directives.has_malformed_limit) {
        this->core->apply_limit(of.server, directives, this->request.caller.attempt);
    }
}

auto relay::ask_larger_model(const std::shared_ptr<attempt>& of) -> bool
{
    const auto& route = *this->request.route;
    const bool may_ask = !this->model.empty() && !this->is_streaming &&
                         this->ledger.may_discard_answer(route, this->core->options.max_sends);
    const auto stated = http::find_header(of->head.headers, this->core->options.names.confidence);
    const auto confidence = stated ? parse_confidence(*stated) : -1;
    const auto larger = this->larger_model();
    const auto required = this->required_confidence(larger);
    const auto accepted = routing::is_accepted(route, this->model_index, confidence, required);
    common::log(
        common::log_part::policy,
        common::log_level::info,
        "answer " + std::string{accepted ? "accepted" : "dropped"} + " request=" +
            this->request.caller.attempt + owner_fields(this->request.owner, this->rank()) +
            " model=" + this->model + " confidence=" + std::to_string(confidence) +
            " asked=" + std::to_string(static_cast<int>(required)) + load_field(of->stated_load) +
            pressure_field(this->core->pressure(this->service)));
    // An answer is not dropped if no server would accept the request again: all may be cold or
    // evacuated by now. Asking a second model uses the retry budget like any other further send.
    const bool is_dropped = !accepted && may_ask && this->could_send_after(of->server) &&
                            this->acquire_retry("larger_model", placement::retry_need::optional);
    if (!is_dropped) {
        return false;
    }
    this->abandon(of, attempt_end::ran, server_outcome::good);
    this->use_model(larger.value_or(routing::next_model(route)));
    // The server did nothing wrong, and may have cached the prompt's shared parts.
    std::erase(this->tried, of->server);
    this->core->counters.larger_models.add();
    this->send_next();
    return true;
}

auto relay::on_bytes(const std::shared_ptr<attempt>& of, std::string bytes) -> void
{
    if (of->ended) {
        return;
    }
    if (of->events) {
        this->on_events(of, bytes);
        return;
    }
    of->last_progress = this->core->hooks.clock();
    of->body += bytes;
    this->out->note_buffered(of->body.size());
    if (of->body.size() > this->core->options.max_buffered_response) {
        this->abandon(of, attempt_end::ran, server_outcome::failed);
        this->retry(result_code::server_failed);
    }
}

auto relay::note_predicted_wait(const attempt& of) const -> void
{
    if (!of.cost) {
        return;
    }
    const auto waited = milliseconds_between(of.sent, of.first_event).count();
    const auto waited_ms = static_cast<double>(waited);
    // The first waits have no prediction yet.
    if (of.predicted_ms > 0.0) {
        this->core->counters.record_wait(this->service.value(), of.predicted_ms, waited_ms);
    }
    this->core->speeds[this->service].note_cost(waited_ms, *of.cost);
    common::log(
        common::log_part::place,
        common::log_level::info,
        "first event request=" + this->request.caller.attempt + " server=" + of.server.id.value() +
            " model=" + this->model + " ms=" + std::to_string(waited) +
            " predicted_ms=" + std::to_string(static_cast<std::int64_t>(of.predicted_ms)));
}

auto relay::note_speed(attempt& of, std::int64_t min_events) const -> void
{
    const auto pauses = of.events_seen - of.first_events;
    const bool is_enough = of.events_seen >= min_events && pauses > 0;
    // A cold server's pace says nothing about its later speed.
    if (of.is_speed_sampled || of.is_cold || !is_enough) {
        return;
    }
    of.is_speed_sampled = true;
    const auto took = std::chrono::duration<double, std::milli>(of.last_progress - of.first_event);
    const auto& used = this->model.empty() ? this->request.caller.model : this->model;
    this->core->speeds[this->service].note_pause(
        of.server, used, took.count() / static_cast<double>(pauses));
}

auto relay::note_event_pause(attempt& of) const -> void
{
    if (of.is_timed) {
        return;
    }
    const auto load = this->core->loads.total(of.server, of.last_progress);
    of.load_sum.reading += load.reading;
    of.load_sum.requests += load.requests;
    of.load_samples += 1;
    if (of.events_seen < enough_events) {
        return;
    }
    const auto took = std::chrono::duration<double, std::milli>(of.last_progress - of.first_event);
    const auto pauses = static_cast<double>(of.events_seen - 1);
    this->note_time(
        of,
        {.part = routing::timed_part::event_pause,
         .took_ms = took.count() / pauses,
         .load = {
             of.load_sum.reading / of.load_samples,
             of.load_sum.requests / of.load_samples,
             of.is_load_test}});
}

auto relay::note_total_time(attempt& of, routing::time_bound bound) const -> void
{
    const auto took =
        std::chrono::duration<double, std::milli>(this->core->hooks.clock() - of.sent);
    // A dropped answer of a small model ends with its head, and would count as very fast.
    const bool is_dropped =
        this->is_stream() && bound == routing::time_bound::seen && !of.has_events;
    const bool waited_for_slot = !this->is_stream() && this->was_nearly_full(of);
    if (!of.is_timed && !is_dropped && !waited_for_slot) {
        this->note_time(
            of,
            {.part = this->is_stream() ? routing::timed_part::whole_answer
                                       : routing::timed_part::plain_answer,
             .took_ms = took.count(),
             .bound = bound,
             .load = {of.reading_ahead, of.requests_with_it, of.is_load_test}});
    }
}

auto relay::note_time(attempt& of, const routing::timed_answer& timed) const -> void
{
    of.is_timed = true;
    if (!of.is_cold) {
        this->core->rollouts.note_time(
            this->service, of.version, this->request.route->name, timed, this->core->hooks.clock());
    }
}

auto relay::on_events(const std::shared_ptr<attempt>& of, const std::string& bytes) -> void
{
    std::string whole;
    const auto last_id = of->events->last_id();
    const bool in_order = of->events->add(bytes, whole);
    if (of->events->last_id() != last_id) {
        of->last_progress = this->core->hooks.clock();
    }
    if (!whole.empty()) {
        if (!of->has_events) {
            of->has_events = true;
            of->first_event = of->last_progress;
            this->note_predicted_wait(*of);
            this->core->loads.reduce_work(of->server, of->prompt_work);
            of->work -= of->prompt_work;
            const auto took = milliseconds_between(of->sent, of->last_progress);
            const auto& route = this->request.route->name;
            this->note_completed();
            this->core->note_first_event(route, took);
            if (!of->is_cold) {
                this->core->rollouts.note_first_event(
                    this->service,
                    of->version,
                    route,
                    took,
                    of->last_progress,
                    {of->reading_ahead, of->requests_with_it, of->is_load_test});
            }
        }
        if (!this->is_streaming) {
            this->is_streaming = true;
            const auto waited = milliseconds_between(this->received, of->last_progress);
            this->first_event_wait = waited;
            this->core->waits.note(waited, this->request.route->target);
            this->core->counters.first_event_ms.record(static_cast<double>(waited.count()));
            this->out->start(of->head);
        }
        // Events of one network packet arrive together; the time of the last one counts.
        const auto arrived = of->events->last_id() - this->last_event;
        of->first_events = of->events_seen == 0 ? arrived : of->first_events;
        of->events_seen += arrived;
        this->note_event_pause(*of);
        this->note_speed(*of, enough_events);
        this->last_event = of->events->last_id();
        this->out->write(std::move(whole));
        if (this->out != nullptr && this->out->is_paused()) {
            // Its pauses are those of the caller from now on.
            of->is_timed = true;
            of->is_speed_sampled = true;
        }
    }
    if (!in_order) {
        this->abandon(of, attempt_end::ran, server_outcome::failed);
        this->retry(result_code::stream_broken);
    }
}

auto relay::on_done(
    const std::shared_ptr<attempt>& of, const common::result<http::response>& answer) -> void
{
    if (of->ended) {
        return;
    }
    if (!answer) {
        this->on_connection_lost(of, answer.error());
        return;
    }
    switch (of->head_verdict) {
    case verdict::success:
        this->on_success(of, *answer);
        return;
    case verdict::not_executed:
        this->on_refusal(of);
        return;
    case verdict::server_failure:
        this->on_server_failure(of);
        return;
    case verdict::none:
    case verdict::untrusted:
        this->end_attempt(of, attempt_end::unknown, server_outcome::failed);
        this->retry(result_code::outcome_unknown);
        return;
    }
}

auto relay::on_refusal(const std::shared_ptr<attempt>& of) -> void
{
    this->log_answer(*of, "server refused");
    this->end_attempt(of, attempt_end::not_executed, server_outcome::refused);
    if (of->directives.backoff) {
        this->ledger.note_backoff_asked();
    }
    else if (of->head.status == status::unavailable && !of->directives.is_leaving) {
        this->core->admission_of(this->service)
            .throttle.note_refused(of->server, this->core->hooks.clock());
    }
    this->retry(result_code::no_capacity);
}

auto relay::on_server_failure(const std::shared_ptr<attempt>& of) -> void
{
    this->log_answer(*of, "server failed");
    of->was_timed_out = of->head.status == status::gateway_timeout;
    this->end_attempt(of, attempt_end::ran, server_outcome::failed);
    // A read that fails in the same way at two servers most likely fails at all of them.
    const bool is_same_failure = this->request.route->kind == routing::request_kind::idempotent &&
                                 this->failure_response &&
                                 this->failure_response->status == of->head.status;
    of->head.body = std::move(of->body);
    this->failure_response = std::move(of->head);
    if (is_same_failure && this->core->is_overload_controlled()) {
        this->give_up(result_code::server_failed);
        return;
    }
    this->retry(result_code::server_failed);
}

auto relay::log_answer(const attempt& of, std::string_view what) const -> void
{
    common::log(
        common::log_part::place,
        common::log_level::info,
        std::string{what} + " request=" + this->request.caller.attempt +
            " server=" + of.server.id.value() + " status=" + std::to_string(of.head.status) +
            " echo=" + std::string{to_string(of.echoed)} + load_field(of.stated_load) +
            (of.directives.backoff ? " rest_ms=" + std::to_string(of.directives.backoff->count())
                                   : "") +
            (of.directives.has_malformed_backoff ? " rest=unreadable" : ""));
}

auto relay::log_untrusted(const attempt& of, const response_judgement& judged) const -> void
{
    this->core->counters.count_untrusted(std::string{judged.distrust});
    common::log(
        common::log_part::place,
        common::log_level::warning,
        "answer not trusted request=" + this->request.caller.attempt +
            " server=" + of.server.id.value() + " status=" + std::to_string(of.head.status) +
            " why=" + std::string{judged.distrust} + " echo=" +
            std::string{to_string(judged.echoed)} + " signed=" + (judged.is_signed ? "yes" : "no"));
}

auto relay::log_lost(const attempt& of, const common::error& why) -> void
{
    common::log(
        common::log_part::place,
        common::log_level::info,
        "attempt lost request=" + this->request.caller.attempt + " print=" +
            to_string(this->fingerprint()) + " server=" + of.server.id.value() + " after_ms=" +
            std::to_string(milliseconds_between(of.sent, this->core->hooks.clock()).count()) +
            " streamed_ms=" + std::to_string(this->streamed_for(of).count()) +
            " parts=" + to_string(this->shared_parts()) +
            " head=" + (of.head_verdict == verdict::none ? "no" : "yes") +
            " run=" + std::string{common::to_string(why.run)} + " detail=" + why.detail);
}

auto relay::on_connection_lost(const std::shared_ptr<attempt>& of, const common::error& why) -> void
{
    const bool unsent = why.run == execution::not_run && of->head_verdict == verdict::none;
    const auto end = of->head_verdict != verdict::none ? attempt_end::ran
                     : unsent                          ? attempt_end::not_sent
                     : this->is_stream()               ? attempt_end::unknown_in_queue
                                                       : attempt_end::unknown;
    of->was_lost = !unsent;
    this->settle_retry(of->permit);
    this->end_attempt(of, end, unsent ? server_outcome::unreachable : server_outcome::failed);
    this->log_lost(*of, why);
    if (unsent) {
        this->core->crashes.note_down(of->server, this->core->hooks.clock());
    }
    else {
        this->note_lost(*of);
    }
    this->retry(result_code::outcome_unknown);
}

auto relay::on_success(const std::shared_ptr<attempt>& of, const http::response& answer) -> void
{
    if (of->events && of->events->has_partial_event()) {
        // The body ended normally, but in the middle of an event.
        this->log_lost(*of, common::make_error(result_code::stream_broken));
        this->note_lost(*of);
        this->end_attempt(of, attempt_end::ran, server_outcome::failed);
        this->retry(result_code::stream_broken);
        return;
    }
    this->end_attempt(of, attempt_end::ran, server_outcome::good);
    this->note_completed();
    this->note_served(*of, answer);
    if (of->events && this->is_streaming) {
        this->out->finish();
    }
    else {
        of->head.body = std::move(of->body);
        this->out->send(std::move(of->head));
    }
    this->finish("served");
}

} // namespace reedramp::router
