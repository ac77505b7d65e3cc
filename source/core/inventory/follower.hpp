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
struct read_order;
struct pull_order;
struct append_order;

struct follower_settings {
    /// Time between two pulls of a random peer.
    common::duration pull_period = std::chrono::seconds(1);
    /// How long after its evidence a configuration counts as current.
    common::duration freshness = std::chrono::seconds(15);
    /// How long the log may hold a read that finds no new record.
    std::chrono::milliseconds log_wait{1000};
    /// How long to wait for an answer beyond `log_wait` before asking again.
    common::duration answer_time = std::chrono::seconds(5);
    /// Least and greatest pause after a failed read.
    common::duration retry_first = std::chrono::milliseconds(100);
    common::duration retry_last = std::chrono::seconds(2);
    /// A process that does not tail reads the log itself when its evidence is older than this.
    common::duration own_read_after = std::chrono::seconds(5);
    /// How long a withdrawal from peers may be missing in a readable log before this process
    /// appends it in place of the one that took it.
    common::duration adopt_withdrawal_after = std::chrono::seconds(5);
    /// A checkpoint is due after this many records, or when the newest one is this old.
    std::uint64_t checkpoint_records = 500;
    common::duration checkpoint_age = std::chrono::hours(1);
    /// Bounds of the records kept for peers.
    std::size_t kept_records = 1024;
    std::size_t kept_bytes = std::size_t{4} << 20U;
    /// How many random peers hear of a new withdrawal at once.
    std::size_t withdrawal_fan_out = 3;
    /// Bound of withdrawals that are not in the log yet.
    std::size_t pending_withdrawals = 256;
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
    /// Processes that can be pulled now; may be empty.
    std::function<auto()->std::vector<messages::rpc_address>> peers;
    /// Those that tail the log in this process's data centre; every other pull goes to one of them,
    /// which keeps the way from the log short in a large fleet. May be absent or give none.
    std::function<auto()->std::vector<messages::rpc_address>> tailers;
    /// Whether this process is among the few of its data centre that tail the log.
    std::function<auto()->bool> is_tailer;
    common::clock_hook clock;
    common::wall_clock_hook wall_clock;
    common::timer_hook timer;
    common::random_hook random;
    /// Called after each change of the snapshot, outside all locks, perhaps from several threads;
    /// an older snapshot may come after a newer one.
    std::function<auto(snapshot_ptr now_in_force)->void> changed;
    /// Key shared by the processes of the system; proves withdrawals.
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
    /// Answers of the log or of peers that were behind what this process knows.
    std::uint64_t stale_answers = 0;
    std::uint64_t checkpoints_loaded = 0;
    std::uint64_t bad_checkpoints = 0;
    std::uint64_t forged_withdrawals = 0;
    std::uint64_t dropped_withdrawals = 0;
};

/// Keeps the configuration of one process up to date: from the log where this process tails it,
/// else from random peers. Used by entries and agents alike. Thread-safe; hooks are called outside
/// its lock; it only ever moves to higher offsets.
class follower : public std::enable_shared_from_this<follower> {
public:
    static auto create(follower_hooks hooks, follower_settings settings)
        -> std::shared_ptr<follower>;

    ~follower();
    follower(const follower&) = delete;
    auto operator=(const follower&) -> follower& = delete;

    /// Begins to read and pull; call it once.
    auto start() -> void;

    /// Ends reading and pulling; `snapshot()` stays.
    auto stop() -> void;

    /// False until there is a configuration from the log, a checkpoint or a peer.
    [[nodiscard]] auto ready() const -> bool;

    /// The configuration in force; an empty state at offset 0 before `ready()`.
    [[nodiscard]] auto snapshot() const -> snapshot_ptr;

    /// Until when the configuration is known to be current; in the past if it is not.
    [[nodiscard]] auto current_until() const -> common::time_point;

    /// `current_until()` with the time of the call, for `rules::serving`.
    [[nodiscard]] auto freshness() const -> rules::freshness;

    /// Answers a peer; may be called before `ready()`.
    auto answer(const messages::configuration_pull& pull) -> messages::configuration_push;

    /// Takes an operator's withdrawal: in force here at once, passed on to peers, and appended to
    /// the log until it is read back. Errors: `not_ready`, `not_found` for an unknown version,
    /// `queue_full`.
    auto withdraw(
        const common::version_id& version,
        const common::record_id& record,
        const std::string& author) -> common::result<void>;

    /// Reads the log now, also in a process that does not tail it, until `offset` is folded.
    /// Used after an append.
    auto expect(common::log_offset offset) -> void;

    /// Reads the log once now, also in a process that does not tail it.
    auto refresh() -> void;

    /// Time as of which all records that the log held then are folded; nullopt if unknown.
    [[nodiscard]] auto evidence_time() const -> std::optional<common::time_point>;

    /// Whether a checkpoint should be appended, as far as this process knows.
    [[nodiscard]] auto checkpoint_due() const -> bool;

    [[nodiscard]] auto counters() const -> follower_counters;

private:
    struct parts;

    explicit follower(std::unique_ptr<parts> made);

    using core_event = std::function<
        auto(follower_core& core, common::time_point now, follower_actions& actions)->void>;

    /// Runs the event under the lock, then outside it what it asked for.
    auto handle(const core_event& event) -> void;
    auto wake() -> void;
    /// Shares what an event changed. Call it under the lock.
    auto share(const follower_actions& actions) -> void;
    /// Carries out what an event asked for. Call it outside the lock.
    auto run(follower_actions actions) -> void;
    auto run_read(const read_order& order) -> void;
    auto run_pull(pull_order order) -> void;
    auto run_append(append_order order) -> void;
    auto schedule() -> void;
    auto checkpoint_text(const snapshot_ptr& of) -> std::string;

    std::unique_ptr<parts> all;
};

} // namespace reedramp::inventory
