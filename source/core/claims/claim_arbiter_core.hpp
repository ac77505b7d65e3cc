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

using claim_hook = std::function<auto(messages::claim_answer answer)->void>;

/// The keeper; see `keeper`. Its members are in two files: keeper_core.cpp decides and answers
/// claims, keeper_log.cpp appends and reads.
class claim_arbiter_core final : public claim_arbiter,
                                 public std::enable_shared_from_this<claim_arbiter_core> {
public:
    claim_arbiter_core(claim_arbiter_config settings, claim_arbiter_hooks given);

    auto start() -> void override;
    auto stop() -> void override;
    auto claim(messages::claim_request request, claim_hook done) -> void override;
    [[nodiscard]] auto counters() const -> claim_arbiter_counters override;

private:
    using action = std::function<auto()->void>;
    using actions = std::vector<action>;

    /// A claim that waits for its answer.
    struct waiting_claim {
        messages::claim_request claim;
        /// What goes into the record: the claim, or the holder's to renew a session name.
        messages::claim_request record;
        /// Empty once it was called.
        claim_hook done;
        /// When it is to be sent, even alone.
        common::time_point due;
        common::time_point deadline;
    };

    /// Claims of one key that wait while another one is with the log.
    using followers = std::vector<waiting_claim>;

    enum class flight_stage : std::uint8_t { sending, unknown, kept };

    /// A batch that was given to the log and is not yet decided.
    struct flight {
        claim_batch content;
        std::vector<waiting_claim> claims;
        flight_stage stage = flight_stage::sending;
        /// Where the log says it is, once `kept`.
        common::log_offset offset;
        /// Order in which the batches were sent.
        std::uint64_t number = 0;
        /// When the call is given up.
        common::time_point until;
        /// Number of the last read that was started before the outcome became unknown.
        std::uint64_t unknown_since = 0;
    };

    using flights = std::map<std::uint64_t, flight>;

    // keeper_core.cpp: claims and their answers
    auto decide(waiting_claim item, common::time_point now, actions& todo) -> void;
    auto answer_from_table(waiting_claim& item, common::time_point now, actions& todo) -> bool;
    auto answer_session(
        waiting_claim& item, const held_claim& held, common::time_point now, actions& todo) -> bool;
    auto find_live(const common::request_id& key, common::time_point now) const
        -> std::optional<held_claim>;
    auto is_full(common::time_point now) -> bool;
    auto settle(flight decided, common::time_point now, actions& todo) -> void;
    auto settle_one(waiting_claim& item, common::time_point now, actions& todo) -> void;
    auto
    answer(waiting_claim& item, messages::claim_state state, const held_claim& held, actions& todo)
        -> void;
    auto
    refuse(waiting_claim& item, common::result_code code, common::time_point now, actions& todo)
        -> void;
    auto refuse_late(std::vector<waiting_claim>& list, common::time_point now, actions& todo)
        -> void;
    auto sweep(common::time_point now, actions& todo) -> void;
    auto refuse_waiting(common::time_point now, actions& todo) -> void;
    auto release(const common::request_id& key, common::time_point now, actions& todo) -> void;

    // keeper_log.cpp: time and the log
    auto schedule(common::time_point now, actions& todo) -> void;
    auto give_up_calls(common::time_point now, actions& todo) -> void;
    [[nodiscard]] auto send_time() const -> common::time_point;
    [[nodiscard]] auto next_time() const -> common::time_point;
    auto call_at(common::time_point when, actions& todo) -> void;
    auto on_timer(common::time_point when) -> void;
    auto send_batch(common::time_point now, actions& todo) -> void;
    auto append(const flight& item, actions& todo) -> void;
    auto on_appended(std::uint64_t number, common::result<common::log_offset> result) -> void;
    auto mark_unknown(flight& item, common::time_point now, actions& todo) -> void;
    auto take_kept(common::time_point now, actions& todo) -> void;
    auto start_read(common::time_point now, actions& todo) -> void;
    auto on_read(std::uint64_t turn, common::result<platform::read_answer> result) -> void;
    auto on_search(const platform::read_answer& found, common::time_point now, actions& todo)
        -> void;
    auto back_off(common::time_point now) -> void;
    auto take_records(
        std::uint64_t turn,
        const platform::read_answer& read,
        common::time_point now,
        actions& todo) -> void;
    auto take_record(const messages::log_record& record, common::time_point now, actions& todo)
        -> void;
    auto take(common::log_offset offset, const claim_batch& batch, common::time_point now) -> void;
    auto reached_head(std::uint64_t turn, common::time_point now, actions& todo) -> void;
    auto resolve_unknown(std::uint64_t turn, common::time_point now, actions& todo) -> void;
    auto on_read_failed(const common::error& why, common::time_point now, actions& todo) -> void;
    auto go_down(common::time_point now, actions& todo) -> void;
    auto take_over(common::time_point now, actions& todo) -> void;

    /// Runs `change(now, todo)` under the lock, then the actions that it collected outside it.
    template <typename Change>
    auto with_lock(Change change) -> void
    {
        const auto now = this->hooks.now();
        actions todo;
        {
            const std::lock_guard guard(this->lock);
            change(now, todo);
        }
        for (const auto& step : todo) {
            step();
        }
    }

    claim_arbiter_config config;
    claim_arbiter_hooks hooks;

    mutable std::mutex lock;
    arbiter_state state = arbiter_state::stopped;
    claim_table table;
    offset_age_tracker age;
    /// Last offset that was read when this keeper took over; older records' age is not known.
    common::log_offset taken_over_at;
    /// Set while the start of the window is looked for.
    std::optional<replay_start_search> search;

    /// Claims of the next batch.
    std::vector<waiting_claim> open;
    /// A batch is wanted though it may be empty, so that its horizon makes room in the table.
    bool prune_wanted = false;
    flights sent;
    std::uint64_t batches = 0;
    /// Keys that are in `open` or `sent`, and who else waits for them.
    std::unordered_map<common::request_id, followers> busy;
    std::size_t pending = 0;

    common::time_point next_send{};
    common::time_point next_sweep{};
    common::time_point timer_at = common::never;
    /// When the log is tried again, while it is down or a start has failed.
    common::time_point retry_at = common::never;
    common::duration retry_wait{};
    /// Number of the read under way, or 0; and when it is given up.
    std::uint64_t reading = 0;
    std::uint64_t reads = 0;
    common::time_point read_until{};
    bool read_again = false;
    claim_arbiter_counters counted;
};

} // namespace reedramp::claims
