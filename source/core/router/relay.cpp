#include "router/relay.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"
#include "router/log_fields.hpp"

namespace reedramp::router {

using common::result_code;
using routing::attempt_end;
using routing::server_outcome;

auto relay::begin(
    std::shared_ptr<router_core> core,
    admitted_request request,
    std::shared_ptr<http::responder> out) -> void
{
    const auto one = std::make_shared<relay>(std::move(core), std::move(request), std::move(out));
    one->start();
}

relay::relay(
    std::shared_ptr<router_core> core_to_use,
    admitted_request request_to_relay,
    std::shared_ptr<http::responder> responder)
    : core(std::move(core_to_use)), request(std::move(request_to_relay)),
      out(this->core->streams->open(this->request.caller.attempt, std::move(responder))),
      received(this->request.received), last_event(this->request.caller.last_event)
{
    this->core->open_requests.insert(this);
}

relay::~relay()
{
    this->core->open_requests.erase(this);
}

auto relay::start() -> void
{
    const auto& route = *this->request.route;
    this->give_up_at = std::min(this->request.caller.deadline, this->received + route.timeout);
    this->choose_target();
    this->retries().record_first_attempt();
    this->core->counters.count_first_attempt(this->service.value());
    // The connection outlives the request; a strong reference in its hook would keep both alive.
    this->out->on_disconnect([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_caller_left();
        }
    });
    this->out->when_given_up([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_memory_exceeded();
        }
    });
    this->core->hooks.timer(this->give_up_at, [weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->on_time_up();
        }
    });
    this->core->crashes.note_received(this->prompt_for({}));
    if (!this->give_up_if_barred()) {
        this->admit();
    }
}

auto relay::is_resumed() const -> bool
{
    return this->request.caller.last_event >= 0;
}

auto relay::send_next() -> void
{
    if (this->give_up_if_barred()) {
        return;
    }
    const auto chosen = this->choose_for_send();
    if (chosen.server == nullptr) {
        if (!this->wait_for_send_slot()) {
            this->give_up(result_code::outcome_unknown);
        }
        return;
    }
    if (this->is_throttled()) {
        return;
    }
    this->slot_deadline = common::never;
    this->send_to(chosen);
}

auto relay::is_second_send() -> bool
{
    if (this->ledger.may_begin_send(*this->request.route)) {
        return false;
    }
    this->core->counters.withheld_sends.add();
    common::log(
        common::log_part::place,
        common::log_level::error,
        "send withheld request=" + this->request.caller.attempt +
            " sends=" + std::to_string(this->ledger.sends()));
    // The send in flight, if there is one, still ends the request.
    if (!this->ledger.is_in_flight()) {
        this->give_up(result_code::outcome_unknown);
    }
    return true;
}

auto relay::send_to(const chosen_server& chosen) -> void
{
    if (this->is_second_send()) {
        return;
    }
    const auto& server = *chosen.server;
    const auto where = http::parse_endpoint(server.address);
    if (!where) {
        this->give_up(result_code::no_capacity);
        return;
    }
    const auto next = this->begin_attempt(chosen);
    common::log(
        common::log_part::place,
        common::log_level::info,
        "sent request=" + this->request.caller.attempt + " caller=" + this->request.original.peer +
            " route=" + this->request.route->name.value() +
            owner_fields(this->request.owner, this->rank()) +
            " session=" + this->request.caller.session + " server=" + server.id.value() +
            " version=" + server.version.value() + " model=" + this->model +
            " work=" + std::to_string(static_cast<std::int64_t>(next->work)) + " ahead=" +
            std::to_string(static_cast<std::int64_t>(next->work_ahead - next->prompt_work)) +
            " send=" + std::to_string(this->ledger.sends()) +
            " after_event=" + std::to_string(this->last_event) + excess_field(this->excess()));
    const auto keep = this->shared_from_this();
    next->call = this->core->client->send(
        *where,
        make_server_request(
            this->request.original, this->core->options.names, this->make_forward_headers(server)),
        {.on_head = [keep, next](const http::response& head) { keep->on_head(next, head); },
         .on_chunk = [keep, next](std::string bytes) { keep->on_bytes(next, std::move(bytes)); },
         .on_done =
             [keep, next](const common::result<http::response>& answer) {
                 keep->on_done(next, answer);
             },
         .on_sent =
             [weak = std::weak_ptr(this->out)] {
                 if (const auto stream = weak.lock()) {
                     stream->note_request_sent();
                 }
             },
         .on_reconnect =
             [keep, next] {
                 keep->note_reconnect(*next);
             }});
    this->out->follow(next->call, this->request.original.body.size());
    if (this->is_stream()) {
        this->watch_for_stall(next);
    }
}

auto relay::note_reconnect(const attempt& of) const -> void
{
    this->core->counters.reconnects.add();
    common::log(
        common::log_part::place,
        common::log_level::info,
        "connected anew request=" + this->request.caller.attempt +
            " server=" + of.server.id.value() + " send=" + std::to_string(this->ledger.sends()));
}

auto relay::begin_attempt(const chosen_server& chosen) -> std::shared_ptr<attempt>
{
    const auto& server = *chosen.server;
    const auto now = this->core->hooks.clock();
    const auto work = this->work();
    auto next = std::make_shared<attempt>();
    next->server = server.instance();
    next->version = server.version;
    next->work = work.prompt + work.answer;
    next->prompt_work = work.prompt;
    next->memory = work.memory;
    const auto load = this->core->loads.total(next->server, now);
    next->requests_with_it = load.requests + 1.0;
    next->slots = server.slots;
    next->work_ahead = load.work + work.prompt;
    next->reading_ahead = load.reading + work.prompt;
    next->is_load_test = chosen.is_load_test;
    if (this->core->is_overload_controlled()) {
        next->cost = routing::cost_of(
            server,
            this->make_placement_request(),
            this->trackers(),
            this->core->options.choice,
            now);
        next->predicted_ms = this->core->speeds[this->service].expected_ms(*next->cost);
    }
    next->is_cold = server.is_cold(now);
    next->sent = now;
    next->last_progress = now;
    next->permit = std::exchange(this->next_permit, std::nullopt);
    this->current = next;
    this->tried.push_back(next->server);
    this->ledger.note_sent();
    this->core->counters.sends.add();
    this->note_usage(next->work);
    this->core->loads.begin(next->server, next->work, next->prompt_work, next->memory);
    this->core->limiter.note_sent(server, this->cold_per_second(), now);
    this->core->load_test_routes.note(
        this->service, this->request.route->name, work.prompt, work.answer);
    this->core->rollouts.note_sent(
        this->service, this->session_hash, server.version, now, server.slots);
    return next;
}

auto relay::make_forward_headers(const routing::registration& server) const -> forward_headers
{
    const auto* owner = this->request.owner;
    return {
        milliseconds_between(this->core->hooks.clock(), this->give_up_at),
        server.id.value(),
        owner == nullptr ? std::string{} : owner->name.value(),
        this->model,
        this->last_event,
        this->urgency()};
}

auto relay::slots_used(const attempt& of) const -> double
{
    if (!of.stated_load) {
        return of.requests_with_it;
    }
    const auto running = static_cast<double>(of.stated_load->running);
    // A stream's head comes when it begins to run, and requests that still wait for their prompts
    // to be read take no slot. A plain answer comes when others may have ended already.
    return this->is_stream() ? running : std::max(running, of.requests_with_it);
}

auto relay::occupancy_of(const attempt& of) const -> routing::occupancy
{
    // That a busy server took longer than a caller had is no failure of its version. Times are
    // compared with the effect of load removed.
    if (of.was_timed_out) {
        return routing::occupancy::usual;
    }
    const auto from = routing::high_occupancy_part * static_cast<double>(of.slots);
    return of.slots > 0 && this->slots_used(of) >= from ? routing::occupancy::high
                                                        : routing::occupancy::usual;
}

auto relay::end_attempt(const std::shared_ptr<attempt>& of, attempt_end end, server_outcome outcome)
    -> void
{
    if (of->ended) {
        return;
    }
    of->ended = true;
    this->ledger.note_end(end);
    const bool is_whole = end == attempt_end::ran && outcome == server_outcome::good;
    const bool was_waited_for = outcome == server_outcome::failed && end != attempt_end::ran &&
                                of->head_verdict == verdict::none;
    if (is_whole || was_waited_for) {
        this->note_total_time(
            *of, is_whole ? routing::time_bound::seen : routing::time_bound::at_least);
    }
    constexpr std::int64_t least_events = 2;
    this->note_speed(*of, least_events);
    const auto now = this->core->hooks.clock();
    this->core->loads.end(of->server, of->work, of->has_events ? 0.0 : of->prompt_work, of->memory);
    this->core->rollouts.note_ended(this->service, this->session_hash, of->version, now);
    this->core->health.note(of->server, outcome, now);
    if (outcome == server_outcome::failed && of->was_lost) {
        this->core->rollouts.note_lost(this->service, of->version, this->request.route->name, now);
    }
    else if (outcome == server_outcome::good || outcome == server_outcome::failed) {
        this->core->rollouts.note_outcome(
            this->service,
            of->version,
            this->request.route->name,
            outcome == server_outcome::good,
            this->occupancy_of(*of));
    }
    // Requests that leave a server early do so together, behind one long prompt, which says nothing
    // about the server's version.
    if (outcome == server_outcome::stalled && !of->was_moved_early) {
        this->core->rollouts.note_stall(this->service, of->version, this->request.route->name, now);
    }
}

auto relay::abandon(const std::shared_ptr<attempt>& of, attempt_end end, server_outcome outcome)
    -> void
{
    const bool is_silent =
        !of->ended && (of->head_verdict == verdict::none || of->head_verdict == verdict::untrusted);
    this->has_silent_send = this->has_silent_send || is_silent;
    this->cancel_call();
    this->end_attempt(of, end, outcome);
}

auto relay::is_stream() const -> bool
{
    return this->request.route->kind == routing::request_kind::stream;
}

auto relay::may_send_again() const -> bool
{
    return this->ledger.may_send_again(*this->request.route, this->core->options.max_sends) &&
           this->core->hooks.clock() < this->give_up_at;
}

auto relay::may_leave_current() const -> bool
{
    return this->ledger.may_abandon_send(*this->request.route, this->core->options.max_sends) &&
           this->core->hooks.clock() < this->give_up_at;
}

auto relay::give_up(result_code why) -> void
{
    if (this->ended) {
        return;
    }
    const bool is_not_run = this->ledger.is_not_run();
    if (!is_not_run && common::row_of(why).default_execution == common::execution::not_run) {
        // The refusal states that the request has not run, which is not certain here.
        why = result_code::outcome_unknown;
    }
    else if (
        is_not_run && why != result_code::deadline_too_near && why != result_code::ends_servers) {
        why = result_code::no_capacity;
    }
    if (this->is_streaming) {
        this->out->abort();
    }
    else if (this->failure_response) {
        this->out->send(std::move(*this->failure_response));
    }
    else {
        const auto wait = why == result_code::ends_servers ? this->core->options.crashes.barred_for
                                                           : this->retry_after();
        if (is_not_run) {
            this->core->attempts.note_fate(
                this->request.caller.attempt, routing::attempt_fate::refused);
        }
        this->out->send(make_own_response(common::make_error(why), wait));
    }
    this->finish(common::row_of(why).name);
}

auto relay::silence_limit(const attempt& of) -> common::duration
{
    const auto& route = *this->request.route;
    const auto usual = this->core->speeds[this->service].expected(of.work_ahead);
    return std::max<common::duration>(
        std::chrono::duration_cast<common::duration>(
            route.longest_pause * this->core->options.stall_pause_factor),
        this->core->first_event_limit(route.name, usual));
}

auto relay::first_event_limit(const attempt& of) -> common::duration
{
    const auto& route = *this->request.route;
    const auto& options = this->core->options;
    const auto standing = this->silence_limit(of);
    const bool has_room_elsewhere = this->core->is_overload_controlled() &&
                                    this->core->pressure(this->service) < options.moves_below;
    const auto own_wait = this->core->first_events[this->service].expected(of.prompt_work);
    if (!has_room_elsewhere || of.is_cold || own_wait.count() == 0 || route.target.count() == 0) {
        return standing;
    }
    const auto of_target = std::chrono::duration_cast<common::duration>(
        route.target * options.first_event_target_part);
    const auto of_prompt =
        std::chrono::duration_cast<common::duration>(own_wait * options.first_event_work_factor);
    return std::min(standing, std::max(of_target, of_prompt));
}

auto relay::watch_for_stall(const std::shared_ptr<attempt>& of) -> void
{
    const auto pause = this->request.route->longest_pause;
    if (!this->request.route->is_resumable || pause.count() == 0) {
        return;
    }
    const auto patience = std::chrono::duration_cast<common::duration>(
        pause * this->core->options.stall_pause_factor);
    const auto limit = of->has_events ? patience : this->first_event_limit(*of);
    const auto now = this->core->hooks.clock();
    // An overdue stream that may not be sent again is checked again after a full limit.
    const bool is_overdue = now - of->last_progress >= limit;
    this->core->hooks.timer(
        (is_overdue ? now : of->last_progress) + limit, [weak = this->weak_from_this(), of, limit] {
            const auto self = weak.lock();
            if (self == nullptr || of->ended || self->ended) {
                return;
            }
            // Silence while this entry does not read for a slow caller is not the server's.
            const auto silent_since = std::max(of->last_progress, self->out->reading_since());
            const bool is_silent = self->core->hooks.clock() - silent_since >= limit;
            // Without another attempt, a slow server is better than none.
            if (!is_silent || !self->may_leave_current() || !self->acquire_retry("stalled")) {
                self->watch_for_stall(of);
                return;
            }
            common::log(
                common::log_part::place,
                common::log_level::info,
                "stalled request=" + self->request.caller.attempt +
                    " server=" + of->server.id.value());
            of->was_moved_early = !of->has_events && limit < self->silence_limit(*of);
            self->abandon(of, attempt_end::unknown, server_outcome::stalled);
            self->core->counters.resumed.add(self->is_streaming ? 1 : 0);
            self->send_next();
        });
}

auto relay::on_time_up() -> void
{
    if (this->current) {
        this->current->was_timed_out = true;
    }
    this->stop(
        server_outcome::failed, result_code::deadline_too_near, result_code::deadline_passed);
}

auto relay::on_process_ends() -> void
{
    // The interruption says nothing about the server.
    this->stop(server_outcome::refused, result_code::shutting_down, result_code::outcome_unknown);
}

auto relay::on_memory_exceeded() -> void
{
    // The interruption says nothing about the server.
    this->stop(server_outcome::refused, result_code::memory_full, result_code::outcome_unknown);
}

auto relay::stop(server_outcome of_current, result_code if_not_run, result_code otherwise) -> void
{
    if (this->ended) {
        return;
    }
    if (this->current != nullptr) {
        this->abandon(this->current, attempt_end::unknown, of_current);
    }
    this->give_up(this->ledger.is_not_run() ? if_not_run : otherwise);
}

auto relay::on_caller_left() -> void
{
    if (this->ended) {
        return;
    }
    if (this->current != nullptr) {
        // The interruption says nothing about the server.
        this->abandon(this->current, attempt_end::unknown, server_outcome::refused);
    }
    if (this->ledger.is_not_run()) {
        this->core->attempts.note_fate(
            this->request.caller.attempt, routing::attempt_fate::not_run);
    }
    this->out->abort();
    this->finish("caller_left");
}

auto relay::cancel_call() -> void
{
    if (this->current != nullptr && this->current->call != nullptr) {
        this->current->call->cancel();
    }
}

auto relay::finish(std::string_view how) -> void
{
    this->ended = true;
    this->settle_retry(this->next_permit);
    const auto took = milliseconds_between(this->received, this->core->hooks.clock());
    this->core->counters.count_end(std::string{how});
    this->core->counters.answer_ms.record(static_cast<double>(took.count()));
    common::log(
        common::log_part::entry,
        common::log_level::info,
        "ended request=" + this->request.caller.attempt + " how=" + std::string{how} +
            owner_fields(this->request.owner, this->rank()) +
            " sends=" + std::to_string(this->ledger.sends()) +
            " first_event_ms=" + std::to_string(this->first_event_wait.count()) + " last_event=" +
            std::to_string(this->last_event) + " ms=" + std::to_string(took.count()));
    this->out.reset();
}

} // namespace reedramp::router
