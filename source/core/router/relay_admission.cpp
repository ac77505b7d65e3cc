#include <algorithm>

#include "common/log.hpp"
#include "router/log_fields.hpp"
#include "router/relay.hpp"

/// Part of `relay` that asks overload control whether a request may be sent.
namespace reedramp::router {

using common::result_code;
using overload::admission;
using std::chrono::milliseconds;

namespace {

/// Time per answer token that counts as certain to be needed: the shortest step of an engine.
constexpr milliseconds least_token_time{4};
/// Age from which the time learned from completed requests does not count. If all requests were
/// refused because it is too long, no further one would correct it.
constexpr milliseconds longest_estimate_age{2000};

} // namespace

auto relay::is_to_plain_service() const -> bool
{
    const auto* known = this->request.rules->find_service(this->service);
    return known == nullptr || known->engine_slots == 0;
}

auto relay::caller_left() const -> milliseconds
{
    const auto& deadline = this->request.caller.deadline;
    const auto until = deadline == common::never ? this->give_up_at : deadline;
    return milliseconds_between(this->core->hooks.clock(), until);
}

auto relay::plain_pressure() -> double
{
    const auto now = this->core->hooks.clock();
    const auto target = this->request.route->target;
    const auto* server = this->choose_server();
    auto& gauge = this->core->admission_of(this->service).time_gauge;
    if (server != nullptr && target.count() > 0) {
        const auto work =
            this->core->loads.total(server->instance(), now).work + this->work().answer;
        const auto expected = this->core->speeds[this->service].expected(work);
        gauge.update(
            static_cast<double>(expected.count()) / static_cast<double>(target.count()), now);
    }
    return gauge.level();
}

auto relay::decide_admission(bool is_further_send, bool has_waited) -> overload::admission_decision
{
    const auto now = this->core->hooks.clock();
    const auto& speeds = this->core->speeds[this->service];
    const auto work = this->work();
    overload::service_state state;
    state.has_urgency = !this->is_to_plain_service();
    const bool admits_by_room = this->core->options.overload.admits_by_room;
    state.pressure = admits_by_room ? this->core->pressure(this->service) : 0.0;
    overload::admission_request asked;
    asked.rank = this->rank();
    asked.excess = this->excess();
    asked.work = work.prompt + work.answer;
    asked.target = this->request.route->target;
    asked.left = milliseconds_between(now, this->give_up_at);
    asked.caller_left = this->caller_left();
    asked.was_refused = is_further_send || this->is_resumed();
    asked.is_further_send = is_further_send;
    asked.has_waited = has_waited;
    asked.bytes = this->request.original.body.size();
    if (now - this->core->admission_of(this->service).last_completed <= longest_estimate_age) {
        asked.expected_duration = speeds.expected(work.prompt);
    }
    if (this->is_stream() && !this->is_resumed()) {
        const auto& caller = this->request.caller;
        const auto tokens = caller.expected_answer_tokens > 0
                                ? std::min(caller.expected_answer_tokens, caller.max_answer_tokens)
                                : std::uint64_t{0};
        asked.expected_duration += least_token_time * static_cast<std::int64_t>(tokens);
    }
    if (admits_by_room && !state.has_urgency) {
        state.pressure = std::max(state.pressure, this->plain_pressure());
    }
    // Without scarcity the wait does not count, and a choice of a server is not free.
    const auto* server =
        state.has_urgency && state.pressure > 1.0 ? this->choose_server() : nullptr;
    if (server != nullptr) {
        const auto ahead = this->core->loads.total(server->instance(), now).reading;
        asked.expected_wait = speeds.expected_queueing(ahead);
    }
    return this->core->admission_of(this->service).control.decide(asked, state, now);
}

auto relay::admit(bool has_waited) -> void
{
    if (!this->core->is_overload_controlled()) {
        this->send_next();
        return;
    }
    auto decision = this->decide_admission(false, has_waited);
    // The caller of a resumed stream has a part of it, so that it is not begun in vain.
    if (this->is_resumed() && decision.why != "deadline") {
        decision = {};
    }
    if (decision.what == admission::reject) {
        this->refuse(decision);
        return;
    }
    if (decision.what == admission::wait) {
        this->hold_back(decision);
        return;
    }
    const auto work = this->work();
    this->admitted = {
        true,
        decision.what == admission::start_deferred,
        work.prompt + work.answer,
        this->core->hooks.clock()};
    if (this->admitted.is_deferred) {
        this->log_admission("deferred", decision);
    }
    this->send_next();
}

auto relay::hold_back(const overload::admission_decision& decision) -> void
{
    this->log_admission("held", decision);
    const auto bytes = this->request.original.body.size();
    this->core->admission_of(this->service).control.note_wait(bytes);
    // No server call holds the request here, so the timer keeps it alive.
    this->core->hooks.timer(
        this->core->hooks.clock() + decision.delay, [self = this->shared_from_this(), bytes] {
            self->core->admission_of(self->service).control.note_wait_end(bytes);
            if (!self->ended) {
                self->admit(true);
            }
        });
}

auto relay::is_refused_again(result_code why) -> bool
{
    if (!this->core->is_overload_controlled() || this->is_streaming) {
        return false;
    }
    const auto decision = this->decide_admission(true, true);
    if (decision.what != admission::reject) {
        return false;
    }
    if (this->ledger.is_not_run()) {
        this->refuse(decision);
        return true;
    }
    // A refusal for scarcity states that the request has not run, which is not certain here.
    const bool is_too_late = decision.why == "deadline";
    if (is_too_late) {
        this->log_admission("refused", decision);
        this->give_up(why);
    }
    return is_too_late;
}

auto relay::is_throttled() -> bool
{
    const bool may_be_refused =
        this->core->is_overload_controlled() && this->is_to_plain_service() && !this->is_streaming;
    if (!may_be_refused) {
        return false;
    }
    const auto now = this->core->hooks.clock();
    const auto usable = this->core->servers.usable(this->service).size();
    const auto draw = common::random_unit(this->core->hooks.random);
    auto& throttle = this->core->admission_of(this->service).throttle;
    if (!throttle.should_refuse(usable, draw, now)) {
        return false;
    }
    // Half of the time over which refusals count.
    constexpr milliseconds usual_return{1000};
    this->refuse(
        {admission::reject,
         "throttled",
         overload::spread_return(
             usual_return, this->caller_left(), common::random_unit(this->core->hooks.random)),
         milliseconds{0}});
    return true;
}

auto relay::refuse(const overload::admission_decision& decision) -> void
{
    this->log_admission("refused", decision);
    const auto work = this->work();
    this->core->shares.note_refused(
        this->service, this->organisation(), work.prompt + work.answer, this->core->hooks.clock());
    if (!this->ledger.is_not_run()) {
        // The response must not state that the request has not run.
        this->give_up(result_code::outcome_unknown);
        return;
    }
    this->return_after = decision.delay;
    const bool is_too_late = decision.why == "deadline";
    this->give_up(is_too_late ? result_code::deadline_too_near : result_code::no_capacity);
}

auto relay::log_admission(std::string_view what, const overload::admission_decision& decision)
    -> void
{
    const auto rank = this->rank();
    this->core->counters.count_admission(std::string{what}, std::string{decision.why}, rank);
    common::log(
        common::log_part::policy,
        common::log_level::info,
        std::string{what} + " request=" + this->request.caller.attempt +
            " why=" + std::string{decision.why} + owner_fields(this->request.owner, rank) +
            pressure_field(this->core->pressure(this->service)) +
            " expected_ms=" + std::to_string(decision.expected.count()) +
            (what == "refused" ? " retry_after_ms=" + std::to_string(decision.delay.count()) : ""));
}

auto relay::note_completed() -> void
{
    if (!this->admitted.is_counted) {
        return;
    }
    const auto now = this->core->hooks.clock();
    this->admitted.is_counted = false;
    this->core->admission_of(this->service).last_completed = now;
    this->core->admission_of(this->service)
        .control.note_completed(
            {.rank = this->rank(),
             .work = this->admitted.work,
             .was_deferred = this->admitted.is_deferred,
             .waited = milliseconds_between(this->admitted.started, now),
             .target = this->request.route->target},
            now);
}

} // namespace reedramp::router
