#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "agent/core.hpp"
#include "agent/request_table.hpp"
#include "agent/run.hpp"
#include "placement/fair_queue.hpp"

namespace reedramp::agent {

/// Implementation of `core`. The request table is sharded; the queue and the running requests share
/// one lock, because the fair queue orders requests across all of them.
class core_impl final : public core, public std::enable_shared_from_this<core_impl> {
public:
    core_impl(core_options options, core_hooks hooks);

    auto service() -> messages::agent_service override;
    auto configuration_changed() -> void override;
    auto tick() -> void override;
    auto drain() -> void override;
    [[nodiscard]] auto is_leaving() const -> bool override;
    [[nodiscard]] auto is_idle() const -> bool override;
    auto fail_all_runs() -> std::size_t override;
    [[nodiscard]] auto counters() const -> core_counters override;

    /// Cancels a run whose caller has disconnected.
    auto cancel(const std::shared_ptr<run>& item) -> void;

private:
    using run_ptr = std::shared_ptr<run>;

    auto accept(messages::run_request request, messages::run_sink sink)
        -> std::shared_ptr<messages::run_handle>;
    auto admit_run(const run_ptr& item) -> void;
    auto answer_duplicate(const run_ptr& item, const messages::outcome_answer& known) -> void;

    /// Refuses the run, queues it, or makes it wait for a newer configuration.
    auto check_and_enqueue(const run_ptr& item) -> void;
    auto wait_for_configuration(const run_ptr& item) -> void;
    auto on_configuration_timeout(const messages::run_key& key) -> void;
    auto enqueue(const run_ptr& item) -> void;
    auto try_push(const run_ptr& item) -> common::result<void>;

    /// Starts queued runs while the backend server has capacity; refuses runs that cannot finish in
    /// time any more.
    auto start_queued_runs() -> void;
    auto refuse_late_runs() -> void;
    auto pop_next() -> run_ptr;
    auto schedule_queue_check() -> void;
    auto start(const run_ptr& item) -> void;
    auto check_rules(const messages::run_request& request) const -> common::result<void>;
    auto make_backend_events(const run_ptr& item) -> backend_events;
    auto on_deadline(const messages::run_key& key) -> void;

    /// Ends a run that has not started. The refusal is recorded before it is sent.
    auto refuse(const run_ptr& item, common::error why) -> void;

    /// Ends a run that has started. False if it had already ended.
    auto on_backend_done(const run_ptr& item, const common::result<void>& outcome) -> bool;
    auto fail_run(const run_ptr& item, common::error why) -> bool;
    auto record_end(const run_ptr& item, const messages::run_event& event, messages::usage used)
        -> void;
    auto record_finished(const run_ptr& item, const messages::finished_event& event) -> void;
    auto record_failed(const run_ptr& item, const messages::failed_event& event) -> void;
    auto finish_run(const run_ptr& item, messages::run_event event, messages::usage used) -> void;
    auto remove_run(const messages::run_key& key) -> void;
    auto find_run(const messages::run_key& key) -> run_ptr;
    auto send_refusal(const run_ptr& item, const common::error& why) -> void;

    auto query_outcome(const messages::outcome_query& query) -> messages::outcome_answer;
    auto probe(const messages::probe_request& request) -> messages::probe_answer;

    const core_options options;
    const core_hooks hooks;
    request_table table;

    mutable std::mutex lock;
    placement::fair_queue queue;
    /// Queued and running requests.
    std::map<messages::run_key, run_ptr> runs;
    /// Requests that wait until the configuration is as new as the one the entry used.
    std::map<messages::run_key, run_ptr> awaiting_configuration;
    /// Time of the earliest timer set for the queue.
    common::time_point queue_check_at = common::never;

    std::atomic<bool> is_draining = false;
    std::atomic<std::uint64_t> accepted = 0;
    std::atomic<std::uint64_t> started = 0;
    std::atomic<std::uint64_t> finished = 0;
    std::atomic<std::uint64_t> failed = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> cancelled = 0;
};

} // namespace reedramp::agent
