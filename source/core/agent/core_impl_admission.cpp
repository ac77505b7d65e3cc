/// Admission of requests: checks, recording and queueing.

#include "agent/core_impl.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "agent/decision_log.hpp"
#include "agent/request_checks.hpp"
#include "agent/work_cost.hpp"

namespace reedramp::agent {

using common::make_error;
using common::result_code;

namespace {

/// Handle of one run, held by the receiver of its events.
class run_control final : public messages::run_handle {
public:
    run_control(std::shared_ptr<core_impl> owner_core, std::shared_ptr<run> its_run)
        : owner(std::move(owner_core)), item(std::move(its_run))
    {
    }

    auto cancel() -> void override { this->owner->cancel(this->item); }

    auto pause() -> void override { this->item->pause(); }

    auto resume() -> void override { this->item->resume(); }

private:
    std::shared_ptr<core_impl> owner;
    std::shared_ptr<run> item;
};

} // namespace

auto core_impl::accept(messages::run_request request, messages::run_sink sink)
    -> std::shared_ptr<messages::run_handle>
{
    request.repeat = request_checks::repeat_rule_for(request, *this->hooks.snapshot());
    // With a later deadline a record could expire while copies of the request may still arrive.
    const auto max_time_left = this->options.record_window / 2;
    const auto deadline = this->hooks.now() + std::min(request.time_left, max_time_left);
    auto item = std::make_shared<run>(
        std::move(request), deadline, std::move(sink), this->options.kept_answer_limit);
    this->admit_run(item);
    if (!item->outbox.release_if_empty()) {
        this->hooks.post([item] { item->outbox.release(); });
    }
    return std::make_shared<run_control>(this->shared_from_this(), std::move(item));
}

auto core_impl::admit_run(const run_ptr& item) -> void
{
    const auto& key = item->request.key;
    if (key.incarnation != this->options.incarnation) {
        // No record is needed: this incarnation never runs requests sent to another one.
        item->end();
        this->send_refusal(item, make_error(result_code::wrong_incarnation));
        return;
    }
    const auto answer = this->table.admit(key, item->request.repeat, this->hooks.now());
    if (const auto* refusal = std::get_if<rejected>(&answer)) {
        item->end();
        this->send_refusal(item, refusal->why);
        return;
    }
    if (const auto* known_duplicate = std::get_if<duplicate>(&answer)) {
        item->end();
        this->answer_duplicate(item, known_duplicate->outcome);
        return;
    }
    ++this->accepted;
    this->check_and_enqueue(item);
}

auto core_impl::answer_duplicate(const run_ptr& item, const messages::outcome_answer& known) -> void
{
    if (known.finished) {
        log_decision("answered from the kept answer", item->request);
        item->outbox.send(*known.finished);
        return;
    }
    using messages::outcome_state;
    const auto is_in_progress =
        known.state == outcome_state::queued || known.state == outcome_state::running;
    auto why =
        make_error(is_in_progress ? result_code::still_running : result_code::duplicate_request);
    if (known.state == outcome_state::unknown && known.why) {
        why = *known.why;
    }
    if (known.state == outcome_state::finished) {
        why.run = common::execution::ran;
    }
    if (known.state == outcome_state::failed && known.why) {
        why.run = known.why->run;
    }
    log_decision("duplicate request not run", item->request, error_fields(why));
    item->outbox.send(messages::failed_event{why, known.used});
}

auto core_impl::check_and_enqueue(const run_ptr& item) -> void
{
    if (this->is_draining) {
        this->refuse(item, make_error(result_code::server_leaving));
        return;
    }
    if (request_checks::needs_newer_configuration(item->request, *this->hooks.snapshot())) {
        this->wait_for_configuration(item);
        return;
    }
    if (auto verdict = this->check_rules(item->request); !verdict) {
        this->refuse(item, verdict.error());
        return;
    }
    this->enqueue(item);
}

auto core_impl::check_rules(const messages::run_request& request) const -> common::result<void>
{
    const inventory::rules::freshness fresh{this->hooks.current_until(), this->hooks.now()};
    return request_checks::check(request, *this->hooks.snapshot(), fresh, this->options.server);
}

auto core_impl::wait_for_configuration(const run_ptr& item) -> void
{
    const auto key = item->request.key;
    bool is_added = false;
    {
        const std::lock_guard guard(this->lock);
        if (this->awaiting_configuration.size() < this->options.queue.max_queued) {
            is_added = this->awaiting_configuration.emplace(key, item).second;
        }
    }
    if (!is_added) {
        this->refuse(item, make_error(result_code::queue_full));
        return;
    }
    const auto until =
        std::min(this->hooks.now() + this->options.configuration_wait_limit, item->deadline);
    this->hooks.timer(until, [weak = this->weak_from_this(), key] {
        if (const auto self = weak.lock()) {
            self->on_configuration_timeout(key);
        }
    });
    if (this->hooks.fetch_configuration) {
        this->hooks.fetch_configuration(item->request.configuration);
    }
    // The configuration may have arrived, or a drain may have begun, between the check and the
    // insertion into `awaiting_configuration`.
    this->configuration_changed();
}

auto core_impl::on_configuration_timeout(const messages::run_key& key) -> void
{
    run_ptr item;
    {
        const std::lock_guard guard(this->lock);
        const auto found = this->awaiting_configuration.find(key);
        if (found == this->awaiting_configuration.end()) {
            return;
        }
        item = found->second;
        this->awaiting_configuration.erase(found);
    }
    const auto has_no_configuration = this->hooks.snapshot()->offset.value() == 0;
    this->refuse(
        item,
        make_error(
            has_no_configuration ? result_code::not_ready : result_code::stale_configuration));
}

auto core_impl::configuration_changed() -> void
{
    const auto current = this->hooks.snapshot();
    std::vector<run_ptr> ready;
    {
        const std::lock_guard guard(this->lock);
        for (auto next = this->awaiting_configuration.begin();
             next != this->awaiting_configuration.end();) {
            const auto item = next->second;
            if (!this->is_draining &&
                request_checks::needs_newer_configuration(item->request, *current)) {
                ++next;
                continue;
            }
            ready.push_back(item);
            next = this->awaiting_configuration.erase(next);
        }
    }
    for (const auto& item : ready) {
        this->check_and_enqueue(item);
    }
}

auto core_impl::try_push(const run_ptr& item) -> common::result<void>
{
    const auto& request = item->request;
    const std::lock_guard guard(this->lock);
    // Checked under the same lock that `drain` holds while it empties the queue, so that no request
    // can be queued after that.
    if (this->is_draining) {
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
    if (!item->change_phase(run_phase::waiting, run_phase::queued)) {
        this->queue.remove(request.key);
        return {};
    }
    this->runs.emplace(request.key, item);
    return {};
}

auto core_impl::enqueue(const run_ptr& item) -> void
{
    if (auto pushed = this->try_push(item); !pushed) {
        this->refuse(item, pushed.error());
        return;
    }
    log_decision("queued", item->request);
    this->start_queued_runs();
}

auto core_impl::refuse(const run_ptr& item, common::error why) -> void
{
    if (!item->end_unless_running()) {
        return;
    }
    why.run = common::execution::not_run;
    this->table.refuse(item->request.key, why, this->hooks.now());
    this->remove_run(item->request.key);
    this->send_refusal(item, why);
}

auto core_impl::send_refusal(const run_ptr& item, const common::error& why) -> void
{
    ++this->refused;
    log_decision("refused", item->request, error_fields(why));
    common::duration retry_after{};
    if (why.retry_at) {
        retry_after = std::max(*why.retry_at - this->hooks.now(), common::duration{});
    }
    item->outbox.send(messages::refused_event{why, retry_after});
}

} // namespace reedramp::agent
