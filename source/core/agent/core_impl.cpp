#include "agent/core_impl.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "agent/decision_log.hpp"
#include "agent/request_checks.hpp"
#include "common/log.hpp"

namespace reedramp::agent {

using common::make_error;
using common::result_code;
using messages::repeat_rule;

namespace {

auto table_limits(const core_options& options) -> request_table_limits
{
    constexpr std::size_t reserve_share = 4;
    return {
        options.record_window,
        options.record_limit,
        options.record_limit / reserve_share,
        options.kept_answers_limit,
        options.kept_answer_limit};
}

} // namespace

auto core::create(core_options options, core_hooks hooks) -> std::shared_ptr<core>
{
    return std::make_shared<core_impl>(std::move(options), std::move(hooks));
}

core_impl::core_impl(core_options initial, core_hooks given)
    : options(std::move(initial)), hooks(std::move(given)), table(table_limits(this->options)),
      queue(this->options.queue)
{
}

auto core_impl::service() -> messages::agent_service
{
    auto self = this->shared_from_this();
    messages::agent_service offered;
    offered.run = [self](messages::run_request request, messages::run_sink sink) {
        return self->accept(std::move(request), std::move(sink));
    };
    offered.ask = [self](
                      messages::outcome_query query,
                      messages::answer_hook<messages::outcome_answer> done) {
        done(self->query_outcome(query));
    };
    offered.probe = [self](
                        messages::probe_request request,
                        messages::answer_hook<messages::probe_answer> done) {
        done(self->probe(request));
    };
    return offered;
}

auto core_impl::cancel(const run_ptr& item) -> void
{
    item->outbox.close();
    if (item->end_unless_running()) {
        auto why = make_error(result_code::cancelled);
        why.run = common::execution::not_run;
        this->table.refuse(item->request.key, why, this->hooks.now());
        ++this->cancelled;
        log_decision("cancelled before start", item->request);
        this->remove_run(item->request.key);
        this->start_queued_runs();
        return;
    }
    if (item->request.repeat == repeat_rule::at_most_once) {
        // Cancelling the call would leave its outcome unknown for good. It continues, and the
        // answer is kept for the caller's retry. A paused call would never end, so it is resumed.
        item->resume();
        log_decision("caller disconnected; run continues", item->request);
        return;
    }
    auto why = make_error(result_code::cancelled);
    why.run = common::execution::ran;
    this->fail_run(item, why);
}

auto core_impl::tick() -> void
{
    this->table.expire(this->hooks.now());
    this->configuration_changed();
    this->start_queued_runs();
}

auto core_impl::drain() -> void
{
    std::vector<run_ptr> unstarted;
    {
        const std::lock_guard guard(this->lock);
        if (this->is_draining.exchange(true)) {
            return;
        }
        for (const auto& entry : this->queue.take_all()) {
            if (const auto found = this->runs.find(entry.key); found != this->runs.end()) {
                unstarted.push_back(found->second);
            }
        }
        for (const auto& [key, item] : this->awaiting_configuration) {
            unstarted.push_back(item);
        }
    }
    common::log(
        common::log_part::agent,
        common::log_level::info,
        "draining; refusing queued requests count=" + std::to_string(unstarted.size()));
    for (const auto& item : unstarted) {
        this->refuse(item, make_error(result_code::server_leaving));
    }
}

auto core_impl::is_leaving() const -> bool
{
    return this->is_draining;
}

auto core_impl::is_idle() const -> bool
{
    const std::lock_guard guard(this->lock);
    return this->runs.empty() && this->awaiting_configuration.empty();
}

auto core_impl::fail_all_runs() -> std::size_t
{
    std::vector<run_ptr> running_runs;
    {
        const std::lock_guard guard(this->lock);
        for (const auto& [key, item] : this->runs) {
            running_runs.push_back(item);
        }
    }
    return static_cast<std::size_t>(
        std::count_if(running_runs.begin(), running_runs.end(), [this](auto& item) {
            return this->fail_run(
                item, make_error(result_code::server_lost, "agent stopped before the run ended"));
        }));
}

auto core_impl::counters() const -> core_counters
{
    core_counters result;
    result.accepted = this->accepted;
    result.started = this->started;
    result.finished = this->finished;
    result.failed = this->failed;
    result.refused = this->refused;
    result.cancelled = this->cancelled;
    result.records = this->table.records();
    const std::lock_guard guard(this->lock);
    result.in_flight = this->queue.running();
    result.queued = this->queue.queued() + this->awaiting_configuration.size();
    return result;
}

auto core_impl::query_outcome(const messages::outcome_query& query) -> messages::outcome_answer
{
    if (query.key.incarnation != this->options.incarnation) {
        // A previous incarnation may have run it; its records are gone.
        messages::outcome_answer unknown;
        unknown.why = make_error(result_code::wrong_incarnation);
        unknown.why->run = common::execution::unknown;
        return unknown;
    }
    return this->table.query(query, this->hooks.now());
}

auto core_impl::probe(const messages::probe_request& request) -> messages::probe_answer
{
    const auto current = this->hooks.snapshot();
    messages::probe_answer answer;
    answer.server = this->options.server;
    answer.incarnation = this->options.incarnation;
    answer.leaving = this->is_draining;
    answer.configuration = current->offset;
    answer.serves_version =
        request_checks::can_serve(*current, this->options.server, request.version);
    const std::lock_guard guard(this->lock);
    answer.in_flight = static_cast<std::uint32_t>(this->queue.running());
    answer.queued =
        static_cast<std::uint32_t>(this->queue.queued() + this->awaiting_configuration.size());
    answer.estimated_wait = this->queue.estimated_wait();
    return answer;
}

} // namespace reedramp::agent
