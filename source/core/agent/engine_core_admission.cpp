/// The way of a request from its arrival into the queue.

#include "agent/engine_core.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "agent/decision_log.hpp"
#include "agent/gate.hpp"
#include "agent/work_cost.hpp"

namespace reedramp::agent {

using common::make_error;
using common::result_code;

namespace {

/// The reader's side of one run.
class run_control final : public messages::run_handle {
public:
    run_control(std::shared_ptr<engine_core> owner_core, std::shared_ptr<run> its_run)
        : owner(std::move(owner_core)), item(std::move(its_run))
    {
    }

    auto cancel() -> void override { this->owner->cancel(this->item); }

    auto pause() -> void override { this->item->pause(); }

    auto resume() -> void override { this->item->resume(); }

private:
    std::shared_ptr<engine_core> owner;
    std::shared_ptr<run> item;
};

} // namespace

auto engine_core::accept(messages::run_request request, messages::run_sink sink)
    -> std::shared_ptr<messages::run_handle>
{
    request.repeat = gate::repeat_rule_for(request, *this->hooks.snapshot());
    // A deadline further away than this would let a record expire while copies may still come.
    const auto longest = this->options.record_window / 2;
    const auto deadline = this->hooks.now() + std::min(request.time_left, longest);
    auto item = std::make_shared<run>(
        std::move(request), deadline, std::move(sink), this->options.kept_answer_limit);
    this->take(item);
    if (!item->outbox.release_if_empty()) {
        this->hooks.post([item] { item->outbox.release(); });
    }
    return std::make_shared<run_control>(this->shared_from_this(), std::move(item));
}

auto engine_core::take(const run_ptr& item) -> void
{
    const auto& key = item->request.key;
    if (key.incarnation != this->options.incarnation) {
        // No record is needed: this incarnation never runs what was sent to another one.
        item->end();
        this->tell_refused(item, make_error(result_code::wrong_incarnation));
        return;
    }
    const auto answer = this->table.admit(key, item->request.repeat, this->hooks.now());
    if (const auto* away = std::get_if<turned_away>(&answer)) {
        item->end();
        this->tell_refused(item, away->why);
        return;
    }
    if (const auto* taken = std::get_if<already_taken>(&answer)) {
        item->end();
        this->tell_taken(item, taken->known);
        return;
    }
    ++this->accepted;
    this->decide(item);
}

auto engine_core::tell_taken(const run_ptr& item, const messages::outcome_answer& known) -> void
{
    if (known.finished) {
        log_line("kept answer given", item->request);
        item->outbox.put(*known.finished);
        return;
    }
    using messages::outcome_state;
    const auto runs_now =
        known.state == outcome_state::queued || known.state == outcome_state::running;
    auto why = make_error(runs_now ? result_code::still_running : result_code::duplicate_request);
    if (known.state == outcome_state::unknown && known.why) {
        why = *known.why;
    }
    if (known.state == outcome_state::finished) {
        why.run = common::execution::ran;
    }
    if (known.state == outcome_state::failed && known.why) {
        why.run = known.why->run;
    }
    log_line("copy not run", item->request, code_text(why));
    item->outbox.put(messages::failed_event{why, known.used});
}

auto engine_core::decide(const run_ptr& item) -> void
{
    if (this->is_leaving) {
        this->refuse(item, make_error(result_code::server_leaving));
        return;
    }
    if (gate::is_behind(item->request, *this->hooks.snapshot())) {
        this->hold(item);
        return;
    }
    if (auto verdict = this->check(item->request); !verdict) {
        this->refuse(item, verdict.error());
        return;
    }
    this->enqueue(item);
}

auto engine_core::check(const messages::run_request& request) const -> common::result<void>
{
    const inventory::rules::freshness fresh{this->hooks.current_until(), this->hooks.now()};
    return gate::check(request, *this->hooks.snapshot(), fresh, this->options.server);
}

auto engine_core::hold(const run_ptr& item) -> void
{
    const auto key = item->request.key;
    bool taken = false;
    {
        const std::lock_guard guard(this->lock);
        if (this->held.size() < this->options.queue.max_queued) {
            taken = this->held.emplace(key, item).second;
        }
    }
    if (!taken) {
        this->refuse(item, make_error(result_code::queue_full));
        return;
    }
    const auto until = std::min(this->hooks.now() + this->options.catch_up_limit, item->deadline);
    this->hooks.timer(until, [weak = this->weak_from_this(), key] {
        if (const auto self = weak.lock()) {
            self->give_up_waiting(key);
        }
    });
    if (this->hooks.catch_up) {
        this->hooks.catch_up(item->request.configuration);
    }
    // It may have come, or a drain may have begun, between the first look and the entry in `held`.
    this->configuration_changed();
}

auto engine_core::give_up_waiting(const messages::run_key& key) -> void
{
    run_ptr item;
    {
        const std::lock_guard guard(this->lock);
        const auto found = this->held.find(key);
        if (found == this->held.end()) {
            return;
        }
        item = found->second;
        this->held.erase(found);
    }
    const auto none = this->hooks.snapshot()->offset.value() == 0;
    this->refuse(
        item, make_error(none ? result_code::not_ready : result_code::stale_configuration));
}

auto engine_core::configuration_changed() -> void
{
    const auto current = this->hooks.snapshot();
    std::vector<run_ptr> ready;
    {
        const std::lock_guard guard(this->lock);
        for (auto next = this->held.begin(); next != this->held.end();) {
            const auto item = next->second;
            if (!this->is_leaving && gate::is_behind(item->request, *current)) {
                ++next;
                continue;
            }
            ready.push_back(item);
            next = this->held.erase(next);
        }
    }
    for (const auto& item : ready) {
        this->decide(item);
    }
}

auto engine_core::try_push(const run_ptr& item) -> common::result<void>
{
    const auto& request = item->request;
    const std::lock_guard guard(this->lock);
    // Checked under the lock under which `drain` empties the queue; else work could slip in after.
    if (this->is_leaving) {
        return common::failure(result_code::server_leaving);
    }
    placement::queued_request entry;
    entry.key = request.key;
    entry.organisation = request.organisation;
    entry.priority = request.priority;
    entry.cost = expected_cost(request);
    entry.deadline = item->deadline;
    auto pushed = this->queue.push(std::move(entry), this->hooks.now());
    if (!pushed) {
        return pushed;
    }
    if (!item->advance(run_phase::waiting, run_phase::queued)) {
        this->queue.remove(request.key);
        return {};
    }
    this->runs.emplace(request.key, item);
    return {};
}

auto engine_core::enqueue(const run_ptr& item) -> void
{
    if (auto pushed = this->try_push(item); !pushed) {
        this->refuse(item, pushed.error());
        return;
    }
    log_line("queued", item->request);
    this->pump();
}

auto engine_core::refuse(const run_ptr& item, common::error why) -> void
{
    if (!item->end_unless_running()) {
        return;
    }
    why.run = common::execution::not_run;
    this->table.refuse(item->request.key, why, this->hooks.now());
    this->forget(item->request.key);
    this->tell_refused(item, why);
}

auto engine_core::tell_refused(const run_ptr& item, const common::error& why) -> void
{
    ++this->refused;
    log_line("refused", item->request, code_text(why));
    common::duration retry_after{};
    if (why.retry_at) {
        retry_after = std::max(*why.retry_at - this->hooks.now(), common::duration{});
    }
    item->outbox.put(messages::refused_event{why, retry_after});
}

} // namespace reedramp::agent
