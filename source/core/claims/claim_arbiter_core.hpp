#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "claims/claim_arbiter.hpp"
#include "claims/claim_table.hpp"
#include "claims/codec.hpp"
#include "claims/offset_age_tracker.hpp"
#include "claims/replay_start_search.hpp"
#include "common/ids.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "messages/peer.hpp"
#include "platform/hooks.hpp"

namespace reedramp::claims {

using claim_callback = std::function<auto(messages::claim_answer answer)->void>;

/// Implementation of `claim_arbiter`. claim_arbiter_core.cpp decides and answers claims,
/// claim_arbiter_log.cpp appends to and reads from the log.
///
/// Members with a parameter `deferred` run under the lock and add to it the callbacks and hook
/// calls that are to run after unlocking.
class claim_arbiter_core final : public claim_arbiter,
                                 public std::enable_shared_from_this<claim_arbiter_core> {
public:
    claim_arbiter_core(claim_arbiter_config settings, claim_arbiter_hooks given);

    auto start() -> void override;
    auto stop() -> void override;
    auto claim(messages::claim_request request, claim_callback done) -> void override;
    [[nodiscard]] auto counters() const -> claim_arbiter_counters override;

private:
    using action = std::function<auto()->void>;
    using actions = std::vector<action>;

    /// A claim without an answer yet.
    struct pending_claim {
        messages::claim_request claim;
        /// The claim to append: `claim`, or the holder's claim to renew a session name.
        messages::claim_request record;
        /// Empty after it was called.
        claim_callback done;
        /// Time at which it is appended even if it is alone in its batch.
        common::time_point send_by;
        common::time_point deadline;
    };

    /// Claims of one key that wait until an earlier claim of the key is decided.
    using queued_claims = std::vector<pending_claim>;

    enum class batch_stage : std::uint8_t { sending, unknown, appended };

    /// A batch passed to the log whose claims are not decided yet.
    struct submitted_batch {
        claim_batch content;
        std::vector<pending_claim> claims;
        batch_stage stage = batch_stage::sending;
        /// Offset in the log; valid if `appended`.
        common::log_offset offset;
        /// Sequence number of the batch.
        std::uint64_t number = 0;
        /// Time at which the append call times out.
        common::time_point call_deadline;
        /// Number of the last read started before the outcome became unknown. A later read that
        /// does not find the batch shows that it is missing from the log.
        std::uint64_t last_read_before_unknown = 0;
    };

    using submitted_batches = std::map<std::uint64_t, submitted_batch>;

    // claim_arbiter_core.cpp: claims and their answers
    auto decide(pending_claim item, common::time_point now, actions& deferred) -> void;
    auto answer_from_table(pending_claim& item, common::time_point now, actions& deferred) -> bool;
    auto answer_session(
        pending_claim& item, const held_claim& held, common::time_point now, actions& deferred)
        -> bool;
    auto find_unexpired(const common::request_id& key, common::time_point now) const
        -> std::optional<held_claim>;
    auto is_table_full(common::time_point now) -> bool;
    auto finish_batch(submitted_batch decided, common::time_point now, actions& deferred) -> void;
    auto answer_decided(pending_claim& item, common::time_point now, actions& deferred) -> void;
    auto answer(
        pending_claim& item, messages::claim_state state, const held_claim& held, actions& deferred)
        -> void;
    auto
    refuse(pending_claim& item, common::result_code code, common::time_point now, actions& deferred)
        -> void;
    auto refuse_expired(std::vector<pending_claim>& list, common::time_point now, actions& deferred)
        -> void;
    auto refuse_all_expired(common::time_point now, actions& deferred) -> void;
    auto refuse_pending(common::time_point now, actions& deferred) -> void;
    auto release_key(const common::request_id& key, common::time_point now, actions& deferred)
        -> void;

    // claim_arbiter_log.cpp: timers and log calls
    auto schedule(common::time_point now, actions& deferred) -> void;
    auto expire_log_calls(common::time_point now, actions& deferred) -> void;
    [[nodiscard]] auto next_send_time() const -> common::time_point;
    [[nodiscard]] auto next_timer_time() const -> common::time_point;
    auto set_timer(common::time_point when, actions& deferred) -> void;
    auto on_timer(common::time_point when) -> void;
    auto send_batch(common::time_point now, actions& deferred) -> void;
    auto append(const submitted_batch& item, actions& deferred) -> void;
    auto on_appended(std::uint64_t number, common::result<common::log_offset> result) -> void;
    auto mark_unknown(submitted_batch& item, common::time_point now, actions& deferred) -> void;
    auto apply_appended(common::time_point now, actions& deferred) -> void;
    auto start_read(common::time_point now, actions& deferred) -> void;
    auto on_read(std::uint64_t read_number, common::result<platform::read_answer> result) -> void;
    auto
    on_search_answer(const platform::read_answer& found, common::time_point now, actions& deferred)
        -> void;
    auto schedule_retry(common::time_point now) -> void;
    auto apply_records(
        std::uint64_t read_number,
        const platform::read_answer& read,
        common::time_point now,
        actions& deferred) -> void;
    auto apply_record(const messages::log_record& record, common::time_point now, actions& deferred)
        -> void;
    auto apply_batch(common::log_offset offset, const claim_batch& batch, common::time_point now)
        -> void;
    auto on_head_reached(std::uint64_t read_number, common::time_point now, actions& deferred)
        -> void;
    auto resolve_missing(std::uint64_t read_number, common::time_point now, actions& deferred)
        -> void;
    auto on_read_failed(const common::error& why, common::time_point now, actions& deferred)
        -> void;
    auto on_log_unavailable(common::time_point now, actions& deferred) -> void;
    auto take_over(common::time_point now, actions& deferred) -> void;

    /// Runs `change(now, deferred)` under the lock, then the deferred actions outside it.
    template <typename Change>
    auto with_lock(Change change) -> void
    {
        const auto now = this->hooks.now();
        actions deferred;
        {
            const std::lock_guard guard(this->lock);
            change(now, deferred);
        }
        for (const auto& step : deferred) {
            step();
        }
    }

    claim_arbiter_config config;
    claim_arbiter_hooks hooks;

    mutable std::mutex lock;
    arbiter_state state = arbiter_state::stopped;
    claim_table table;
    offset_age_tracker offset_ages;
    /// Last offset read at takeover. The age of records up to it is not known.
    common::log_offset takeover_offset;
    /// Set while the start of the replay is being determined.
    std::optional<replay_start_search> start_search;

    /// Claims of the next batch.
    std::vector<pending_claim> next_batch;
    /// A batch is sent even if it is empty, so that its horizon expires keys of the full table.
    bool is_expiry_batch_due = false;
    submitted_batches submitted;
    std::uint64_t batch_count = 0;
    /// Keys in `next_batch` or `submitted`, with the further claims that wait for them.
    std::unordered_map<common::request_id, queued_claims> unresolved_keys;
    std::size_t pending = 0;

    common::time_point next_send{};
    common::time_point next_expiry_check{};
    common::time_point timer_due = common::never;
    /// Time of the next read after the log was unreachable.
    common::time_point retry_at = common::never;
    common::duration retry_wait{};
    /// Number of the read in flight, or 0 if there is none.
    std::uint64_t current_read = 0;
    std::uint64_t reads = 0;
    common::time_point read_deadline{};
    bool read_again = false;
    claim_arbiter_counters totals;
};

} // namespace reedramp::claims
