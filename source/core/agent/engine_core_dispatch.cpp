/// The way of a request from the queue through the backend server to its final event.

#include "agent/engine_core.hpp"

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

/// So that a timer that fires early can't make the queue's check run in a circle.
constexpr common::duration least_check_delay = std::chrono::milliseconds(1);

} // namespace

auto engine_core::pump() -> void
{
    this->refuse_hopeless();
    while (const auto next = this->pop_next()) {
        this->start(next);
    }
    this->schedule_check();
}

auto engine_core::refuse_hopeless() -> void
{
    std::vector<run_ptr> hopeless;
    {
        const std::lock_guard guard(this->lock);
        for (const auto& entry : this->queue.take_infeasible(this->hooks.now())) {
            const auto found = this->runs.find(entry.key);
            if (found != this->runs.end()) {
                hopeless.push_back(found->second);
                this->runs.erase(found);
            }
        }
    }
    for (const auto& item : hopeless) {
        this->refuse(item, make_error(result_code::deadline_too_near, "waited too long"));
    }
}

auto engine_core::pop_next() -> run_ptr
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

auto engine_core::schedule_check() -> void
{
    common::time_point at;
    {
        const std::lock_guard guard(this->lock);
        const auto wanted = this->queue.next_check();
        if (wanted >= this->check_at || wanted == common::never) {
            return;
        }
        at = std::max(wanted, this->hooks.now() + least_check_delay);
        this->check_at = at;
    }
    this->hooks.timer(at, [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        {
            const std::lock_guard guard(self->lock);
            self->check_at = common::never;
        }
        self->pump();
    });
}

auto engine_core::start(const run_ptr& item) -> void
{
    const auto& request = item->request;
    // The version may have been withdrawn while the request was queued.
    if (auto verdict = this->check(request); !verdict) {
        this->refuse(item, verdict.error());
        return;
    }
    auto call = make_backend_call(request);
    if (!call) {
        this->refuse(item, call.error());
        return;
    }
    if (!item->advance(run_phase::queued, run_phase::running)) {
        this->forget(request.key);
        return;
    }
    if (!this->table.start(request.key)) {
        this->fail(item, make_error(result_code::internal_error, "record is missing"));
        return;
    }
    ++this->started;
    log_line("started", request);
    if (request.repeat == repeat_rule::idempotent) {
        this->hooks.timer(item->deadline, [weak = this->weak_from_this(), key = request.key] {
            if (const auto self = weak.lock()) {
                self->pass_deadline(key);
            }
        });
    }
    item->attach(this->hooks.start(std::move(*call), this->events_of(item)));
}

auto engine_core::events_of(const run_ptr& item) -> backend_events
{
    const auto self = this->shared_from_this();
    backend_events events;
    events.head = [item](backend_head head) {
        item->take_head(std::move(head));
    };
    events.chunk = [self, item](std::string piece) {
        if (auto read = item->take_chunk(std::move(piece)); !read) {
            self->fail(item, read.error());
        }
    };
    events.done = [self, item](common::result<void> outcome) {
        self->conclude(item, outcome);
    };
    return events;
}

auto engine_core::pass_deadline(const messages::run_key& key) -> void
{
    if (const auto item = this->find(key)) {
        auto why = make_error(result_code::deadline_passed);
        why.run = common::execution::ran;
        this->fail(item, why);
    }
}

auto engine_core::conclude(const run_ptr& item, const common::result<void>& outcome) -> bool
{
    const auto ended = item->end();
    if (!ended) {
        return false;
    }
    auto event = item->final_event(outcome);
    auto used = ended->used;
    if (const auto* whole = std::get_if<messages::finished_event>(&event)) {
        used = whole->used;
    }
    this->settle(item, std::move(event), used);
    return true;
}

auto engine_core::fail(const run_ptr& item, common::error why) -> bool
{
    const auto ended = item->end();
    if (!ended) {
        return false;
    }
    if (ended->backend) {
        ended->backend->cancel();
    }
    this->settle(item, messages::failed_event{std::move(why), ended->used}, ended->used);
    return true;
}

auto engine_core::settle(const run_ptr& item, messages::run_event event, messages::usage used)
    -> void
{
    const auto& request = item->request;
    this->record_end(item, event, used);
    if (this->hooks.report_usage) {
        this->hooks.report_usage({request.key, request.organisation, request.version, used});
    }
    item->outbox.put(std::move(event));
    this->forget(request.key);
    this->pump();
}

auto engine_core::record_end(
    const run_ptr& item, const messages::run_event& event, messages::usage used) -> void
{
    const auto& request = item->request;
    if (const auto* whole = std::get_if<messages::finished_event>(&event)) {
        this->record_finished(item, *whole);
    }
    else if (const auto* broken = std::get_if<messages::failed_event>(&event)) {
        this->record_failed(item, *broken);
    }
    else if (const auto* away = std::get_if<messages::refused_event>(&event)) {
        ++this->refused;
        this->table.refuse(request.key, away->why, this->hooks.now());
        log_line("refused", request, code_text(away->why));
    }
    const std::lock_guard guard(this->lock);
    this->queue.finish(request.key, spent_cost(request, used), this->hooks.now());
}

auto engine_core::record_finished(const run_ptr& item, const messages::finished_event& event)
    -> void
{
    ++this->finished;
    std::optional<messages::finished_event> kept;
    if (item->request.repeat == repeat_rule::at_most_once) {
        kept = item->kept_form(event);
    }
    this->table.finish(item->request.key, event.used, std::move(kept), this->hooks.now());
    log_line(
        "finished",
        item->request,
        " status=" + std::to_string(event.http_status) +
            " tokens=" + std::to_string(event.used.completion_tokens.value()));
}

auto engine_core::record_failed(const run_ptr& item, const messages::failed_event& event) -> void
{
    const auto left = event.why.code == result_code::cancelled;
    ++(left ? this->cancelled : this->failed);
    this->table.fail(item->request.key, event.why, event.used, this->hooks.now());
    log_line(
        left ? "cancelled" : "failed",
        item->request,
        code_text(event.why) + " tokens=" + std::to_string(event.used.completion_tokens.value()));
}

auto engine_core::forget(const messages::run_key& key) -> void
{
    const std::lock_guard guard(this->lock);
    this->held.erase(key);
    this->runs.erase(key);
    if (!this->queue.remove(key)) {
        this->queue.finish(key, {}, this->hooks.now());
    }
}

auto engine_core::find(const messages::run_key& key) -> run_ptr
{
    const std::lock_guard guard(this->lock);
    const auto found = this->runs.find(key);
    return found == this->runs.end() ? nullptr : found->second;
}

} // namespace reedramp::agent
