#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/hooks.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "inventory/rules.hpp"
#include "inventory/state.hpp"
#include "messages/channel.hpp"
#include "messages/peer.hpp"
#include "platform/hooks.hpp"

namespace reedramp::inventory {

class follower_core;
struct follower_actions;
struct read_request;
struct pull_request;
struct append_request;

struct follower_settings {
    /// Mean interval of the pulls from random peers.
    common::duration pull_period = std::chrono::seconds(1);
    /// How long after its evidence time a configuration is considered current.
    common::duration freshness = std::chrono::seconds(15);
    /// How long the log may delay the response to a read while there is no new record.
    std::chrono::milliseconds log_wait{1000};
    /// Timeout of a call, in addition to `log_wait` for a read.
    common::duration call_timeout = std::chrono::seconds(5);
    /// First and maximum delay after a failed read; it doubles with each failure.
    common::duration initial_retry_wait = std::chrono::milliseconds(100);
    common::duration max_retry_wait = std::chrono::seconds(2);
    /// A process that is no tailer reads the log itself if its evidence is older than this.
    common::duration own_read_after = std::chrono::seconds(5);
    /// How long a withdrawal from a peer may be missing from the readable log before this process
    /// appends it in place of the process that received it from the operator.
    common::duration withdrawal_takeover_delay = std::chrono::seconds(5);
    /// A checkpoint is due this many records after the newest one, or when that one is this old.
    std::uint64_t checkpoint_records = 500;
    common::duration checkpoint_age = std::chrono::hours(1);
    /// Maximum number and size of the records kept for peers.
    std::size_t max_kept_records = 1024;
    std::size_t max_kept_bytes = std::size_t{4} << 20U;
    /// Number of random peers that a new withdrawal is sent to at once.
    std::size_t withdrawal_fan_out = 3;
    /// Maximum number of withdrawals that are not in the log yet.
    std::size_t max_pending_withdrawals = 256;
};

struct follower_hooks {
    platform::log_hooks log;
    /// `messages::peer_calls::pull`.
    std::function<auto(
                      const messages::rpc_address& to,
                      messages::configuration_pull pull,
                      messages::answer_hook<messages::configuration_push> done)
                      ->void>
        pull;
    /// Processes that can be pulled from now; may be empty.
    std::function<auto()->std::vector<messages::rpc_address>> peers;
    /// The tailers of this process's data centre. Every second pull goes to one of them, so that
    /// changes reach all processes of a large fleet in few hops. May be null or return none.
    std::function<auto()->std::vector<messages::rpc_address>> tailers;
    /// Whether this process is a tailer, one of the few of its data centre that read the log.
    std::function<auto()->bool> is_tailer;
    common::clock_hook clock;
    common::wall_clock_hook wall_clock;
    common::timer_hook timer;
    common::random_hook random;
    /// Called after each change of the snapshot, without a lock held and possibly from several
    /// threads at once, so that an older snapshot may follow a newer one.
    std::function<auto(snapshot_ptr now_in_force)->void> changed;
    /// Key shared by all processes, which authenticates withdrawals.
    std::string shared_key;
};

/// Counters for metrics and the status page.
struct follower_counters {
    std::uint64_t records_folded = 0;
    std::uint64_t records_rejected = 0;
    std::uint64_t log_reads = 0;
    std::uint64_t log_failures = 0;
    std::uint64_t peer_pulls = 0;
    std::uint64_t peer_failures = 0;
    /// Responses of the log or of peers that were behind this process's state.
    std::uint64_t stale_answers = 0;
    std::uint64_t checkpoints_loaded = 0;
    std::uint64_t bad_checkpoints = 0;
    std::uint64_t forged_withdrawals = 0;
    std::uint64_t dropped_withdrawals = 0;
};

/// Keeps the configuration of one process up to date: from the log if this process is a tailer, and
/// otherwise from random peers. Used by both entries and agents. The offset never decreases.
///
/// Thread-safe; hooks are called without the lock held.
class follower : public std::enable_shared_from_this<follower> {
public:
    static auto create(follower_hooks hooks, follower_settings settings)
        -> std::shared_ptr<follower>;

    ~follower();
    follower(const follower&) = delete;
    auto operator=(const follower&) -> follower& = delete;

    /// Starts reading and pulling; call it once.
    auto start() -> void;

    /// Stops reading and pulling; `snapshot()` remains available.
    auto stop() -> void;

    /// Whether a configuration has been loaded from the log, a checkpoint or a peer.
    [[nodiscard]] auto ready() const -> bool;

    /// The configuration in force; an empty state at offset 0 before `ready()`.
    [[nodiscard]] auto snapshot() const -> snapshot_ptr;

    /// Until when the configuration is known to be current; in the past if it is not.
    [[nodiscard]] auto current_until() const -> common::time_point;

    /// `current_until()` and the current time, for `rules::serving`.
    [[nodiscard]] auto freshness() const -> rules::freshness;

    /// Returns the response to a peer's pull; may be called before `ready()`.
    auto answer(const messages::configuration_pull& pull) -> messages::configuration_push;

    /// Accepts an operator's withdrawal. It is in force in this process at once, is sent to peers,
    /// and is appended to the log until it is read back. Errors: `not_ready`, `not_found` for an
    /// unknown version, `conflict` for a record id that was used before, `queue_full`.
    auto withdraw(
        const common::version_id& version,
        const common::record_id& record,
        const std::string& author) -> common::result<void>;

    /// Starts reading the log, also in a process that is no tailer, until `offset` is folded. Used
    /// after an append.
    auto expect(common::log_offset offset) -> void;

    /// Starts one read of the log, also in a process that is no tailer.
    auto refresh() -> void;

    /// The latest time such that all records in the log at that time are known to be folded;
    /// nullopt if unknown.
    [[nodiscard]] auto evidence_time() const -> std::optional<common::time_point>;

    /// Whether a checkpoint should be appended, as far as this process knows.
    [[nodiscard]] auto checkpoint_due() const -> bool;

    [[nodiscard]] auto counters() const -> follower_counters;

private:
    struct implementation;

    explicit follower(std::unique_ptr<implementation> made);

    using core_event = std::function<
        auto(follower_core& core, common::time_point now, follower_actions& actions)->void>;

    /// Handles the event with the lock held, then executes its actions without it.
    auto handle_event(const core_event& event) -> void;
    auto tick() -> void;
    /// Publishes the state to readers. The lock must be held.
    auto publish_state(const follower_actions& actions) -> void;
    /// Executes the actions of an event. The lock must not be held.
    auto execute(follower_actions actions) -> void;
    auto send_read(const read_request& request) -> void;
    auto send_pull(pull_request request) -> void;
    auto send_append(append_request request) -> void;
    auto schedule_tick() -> void;
    auto checkpoint_text(const snapshot_ptr& of) -> std::string;

    std::unique_ptr<implementation> impl;
};

} // namespace reedramp::inventory
