/// Dispatch of queued requests to the backend server, up to their final events.

#include "agent/core_impl.hpp"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "agent/decision_log.hpp"
#include "agent/work_cost.hpp"

namespace reedramp::agent {

using common::make_error;
using common::result_code;
using messages::repeat_rule;

namespace {

/// Keeps a timer that fires early from rescheduling the queue check in a busy loop.
constexpr common::duration min_queue_check_delay = std::chrono::milliseconds(1);

} // namespace

auto core_impl::start_queued_runs() -> void
{
    this->refuse_late_runs();
    while (const auto next = this->pop_next()) {
        this->start(next);
    }
    this->schedule_queue_check();
}

auto core_impl::refuse_late_runs() -> void
{
    std::vector<run_ptr> late;
    {
        const std::lock_guard guard(this->lock);
        for (const auto& entry : this->queue.take_infeasible(this->hooks.now())) {
            const auto found = this->runs.find(entry.key);
            if (found != this->runs.end()) {
                late.push_back(found->second);
                this->runs.erase(found);
            }
        }
    }
    for (const auto& item : late) {
        this->refuse(
            item,
            make_error(result_code::deadline_too_near, "not enough time left after queueing"));
    }
}

auto core_impl::pop_next() -> run_ptr
{
    const std::lock_guard guard(this->lock);
    while (const auto entry = this->queue.pop(this->hooks.now())) {
        const auto found = this->runs.find(entry->key);
        if (found != this->runs.end()) {
            return found->second;
        }
        this->queue.finish(entry->key, {}, this->hooks.now());
    }
    return nullptr;
}

auto core_impl::schedule_queue_check() -> void
{
    common::time_point at;
    {
        const std::lock_guard guard(this->lock);
        const auto wanted = this->queue.next_check();
        if (wanted >= this->queue_check_at || wanted == common::never) {
            return;
        }
        at = std::max(wanted, this->hooks.now() + min_queue_check_delay);
        this->queue_check_at = at;
    }
    this->hooks.timer(at, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        {
            const std::lock_guard guard(self->lock);
            self->queue_check_at = common::never;
        }
        self->start_queued_runs();
    });
}

auto core_impl::start(const run_ptr& item) -> void
{
    const auto& request = item->request;
    // The version may have been withdrawn while the request was queued.
    if (auto verdict = this->check_rules(request); !verdict) {
        this->refuse(item, verdict.error());
        return;
    }
    auto call = make_backend_call(request);
    if (!call) {
        this->refuse(item, call.error());
        return;
    }
    if (!item->change_phase(run_phase::queued, run_phase::running)) {
        this->remove_run(request.key);
        return;
    }
    if (!this->table.start(request.key)) {
        this->fail_run(item, make_error(result_code::internal_error, "request has no record"));
        return;
    }
    ++this->started;
    log_decision("started", request);
    if (request.repeat == repeat_rule::idempotent) {
        this->hooks.timer(item->deadline, [weak = this->weak_from_this(), key = request.key] {
            if (const auto self = weak.lock()) {
                self->on_deadline(key);
            }
        });
    }
    item->attach_backend(this->hooks.start(std::move(*call), this->make_backend_events(item)));
}

auto core_impl::make_backend_events(const run_ptr& item) -> backend_events
{
    const auto self = this->shared_from_this();
    backend_events events;
    events.head = [item](backend_head head) {
        item->on_head(std::move(head));
    };
    events.chunk = [self, item](std::string piece) {
        if (auto read = item->on_chunk(std::move(piece)); !read) {
            self->fail_run(item, read.error());
        }
    };
    events.done = [self, item](common::result<void> outcome) {
        self->on_backend_done(item, outcome);
    };
    return events;
}

auto core_impl::on_deadline(const messages::run_key& key) -> void
{
    if (const auto item = this->find_run(key)) {
        auto why = make_error(result_code::deadline_passed);
        why.run = common::execution::ran;
        this->fail_run(item, why);
    }
}

auto core_impl::on_backend_done(const run_ptr& item, const common::result<void>& outcome) -> bool
{
    const auto ended = item->end();
    if (!ended) {
        return false;
    }
    auto event = item->final_event(outcome);
    auto used = ended->used;
    if (const auto* finished_answer = std::get_if<messages::finished_event>(&event)) {
        used = finished_answer->used;
    }
    this->finish_run(item, std::move(event), used);
    return true;
}

auto core_impl::fail_run(const run_ptr& item, common::error why) -> bool
{
    const auto ended = item->end();
    if (!ended) {
        return false;
    }
    if (ended->backend) {
        ended->backend->cancel();
    }
    this->finish_run(item, messages::failed_event{std::move(why), ended->used}, ended->used);
    return true;
}

auto core_impl::finish_run(const run_ptr& item, messages::run_event event, messages::usage used)
    -> void
{
    const auto& request = item->request;
    this->record_end(item, event, used);
    if (this->hooks.report_usage) {
        this->hooks.report_usage({request.key, request.organisation, request.version, used});
    }
    item->outbox.send(std::move(event));
    this->remove_run(request.key);
    this->start_queued_runs();
}

auto core_impl::record_end(
    const run_ptr& item, const messages::run_event& event, messages::usage used) -> void
{
    const auto& request = item->request;
    if (const auto* finished_answer = std::get_if<messages::finished_event>(&event)) {
        this->record_finished(item, *finished_answer);
    }
    else if (const auto* failure = std::get_if<messages::failed_event>(&event)) {
        this->record_failed(item, *failure);
    }
    else if (const auto* refusal = std::get_if<messages::refused_event>(&event)) {
        ++this->refused;
        this->table.refuse(request.key, refusal->why, this->hooks.now());
        log_decision("refused", request, error_fields(refusal->why));
    }
    const std::lock_guard guard(this->lock);
    this->queue.finish(request.key, actual_cost(request, used), this->hooks.now());
}

auto core_impl::record_finished(const run_ptr& item, const messages::finished_event& event) -> void
{
    ++this->finished;
    std::optional<messages::finished_event> kept;
    if (item->request.repeat == repeat_rule::at_most_once) {
        kept = item->answer_for_retry(event);
    }
    this->table.finish(item->request.key, event.used, std::move(kept), this->hooks.now());
    log_decision(
        "finished",
        item->request,
        " status=" + std::to_string(event.http_status) +
            " tokens=" + std::to_string(event.used.completion_tokens.value()));
}

auto core_impl::record_failed(const run_ptr& item, const messages::failed_event& event) -> void
{
    const auto running_runs = event.why.code == result_code::cancelled;
    ++(running_runs ? this->cancelled : this->failed);
    this->table.fail(item->request.key, event.why, event.used, this->hooks.now());
    log_decision(
        running_runs ? "cancelled" : "failed",
        item->request,
        error_fields(event.why) +
            " tokens=" + std::to_string(event.used.completion_tokens.value()));
}

auto core_impl::remove_run(const messages::run_key& key) -> void
{
    const std::lock_guard guard(this->lock);
    this->awaiting_configuration.erase(key);
    this->runs.erase(key);
    if (!this->queue.remove(key)) {
        this->queue.finish(key, {}, this->hooks.now());
    }
}

auto core_impl::find_run(const messages::run_key& key) -> run_ptr
{
    const std::lock_guard guard(this->lock);
    const auto found = this->runs.find(key);
    return found == this->runs.end() ? nullptr : found->second;
}

} // namespace reedramp::agent
