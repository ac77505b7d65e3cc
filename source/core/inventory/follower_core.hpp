#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "common/log.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "inventory/checkpoint_scan.hpp"
#include "inventory/follower.hpp"
#include "inventory/record.hpp"
#include "inventory/record_buffer.hpp"
#include "inventory/state.hpp"
#include "inventory/withdrawal_table.hpp"

namespace reedramp::inventory {

struct read_request {
    common::log_offset after;
    std::chrono::milliseconds wait{};
    std::uint64_t ticket = 0;
};

struct pull_request {
    messages::rpc_address to;
    messages::configuration_pull pull;
    std::uint64_t ticket = 0;
};

/// An append of this record, which withdraws `version`; the caller sets its `at`.
struct append_request {
    common::version_id version;
    record item;
};

struct log_message {
    common::log_level level = common::log_level::info;
    std::string text;
};

/// Actions that the caller executes after an event.
struct follower_actions {
    std::optional<read_request> read;
    std::vector<pull_request> pulls;
    std::vector<append_request> appends;
    std::vector<log_message> log_messages;
    /// Whether the state has changed.
    bool changed = false;
};

/// A process's role and peers at the time of a tick.
struct follower_environment {
    bool is_tailer = false;
    std::vector<messages::rpc_address> peers;
    std::vector<messages::rpc_address> tailers;
};

/// Response to a peer's pull; the caller adds a checkpoint of the state if `needs_checkpoint` is
/// set.
struct pull_reply {
    messages::configuration_push push;
    bool needs_checkpoint = false;
};

/// The logic of `follower`: maps its state, an event and the current time to actions, and does no
/// I/O. Not thread-safe.
class follower_core {
public:
    follower_core(follower_settings settings, std::string shared_key, std::uint64_t seed);

    auto tick(common::time_point now, follower_environment environment) -> follower_actions;

    auto on_read(
        std::uint64_t ticket,
        const common::result<platform::read_answer>& answer,
        common::time_point now) -> follower_actions;

    auto on_push(
        std::uint64_t ticket,
        const common::result<messages::configuration_push>& answer,
        common::time_point now) -> follower_actions;

    auto on_append(
        const common::version_id& version,
        const common::result<common::log_offset>& answer,
        common::time_point now) -> follower_actions;

    auto on_pull(
        const messages::configuration_pull& pull, common::time_point now, follower_actions& actions)
        -> pull_reply;

    auto withdraw(
        const common::version_id& version,
        const common::record_id& record,
        const std::string& author,
        common::time_point now,
        follower_actions& actions) -> common::result<void>;

    auto expect(common::log_offset offset, common::time_point now) -> follower_actions;
    auto refresh(common::time_point now) -> follower_actions;

    /// Time of the next call of `tick`, later than `now`.
    [[nodiscard]] auto next_wake(common::time_point now) const -> common::time_point;

    [[nodiscard]] auto is_ready() const -> bool { return this->ready; }

    [[nodiscard]] auto current() const -> const state& { return this->current_state; }

    [[nodiscard]] auto evidence_time() const -> std::optional<common::time_point>
    {
        return this->evidence;
    }

    [[nodiscard]] auto current_until() const -> common::time_point;
    [[nodiscard]] auto checkpoint_due(common::time_point now) const -> bool;

    [[nodiscard]] auto counters() const -> const follower_counters& { return this->counts; }

private:
    struct read_call {
        std::uint64_t ticket = 0;
        common::time_point sent;
        std::chrono::milliseconds wait{};
        /// The read returns the records after this offset.
        common::log_offset after;
    };

    /// Starts the reads, pulls and appends that are due.
    auto send_due_calls(common::time_point now, follower_actions& actions) -> void;
    auto expire_calls(common::time_point now) -> void;
    [[nodiscard]] auto wants_read(common::time_point now) const -> bool;
    auto send_read(common::time_point now, follower_actions& actions) -> void;
    auto send_pull(common::time_point now, follower_actions& actions) -> void;
    auto
    pull_from(const messages::rpc_address& to, common::time_point now, follower_actions& actions)
        -> void;
    auto send_withdrawals(common::time_point now, follower_actions& actions) -> void;
    auto send_appends(common::time_point now, follower_actions& actions) -> void;

    auto apply_records(
        const platform::read_answer& answer,
        const read_call& sent,
        common::time_point now,
        follower_actions& actions) -> void;
    auto apply_scan_answer(
        const platform::read_answer& answer,
        const read_call& sent,
        common::time_point now,
        follower_actions& actions) -> void;
    auto on_read_error(const common::error& why, common::time_point now, follower_actions& actions)
        -> void;
    auto apply_push(
        const messages::configuration_push& push,
        common::time_point sent,
        common::time_point now,
        follower_actions& actions) -> void;
    auto apply_peer_checkpoint(const std::string& text, follower_actions& actions) -> void;
    auto apply_withdrawals(
        const std::vector<messages::withdrawal>& items,
        common::time_point now,
        follower_actions& actions) -> void;
    auto apply_withdrawal(
        const messages::withdrawal& item, common::time_point now, follower_actions& actions)
        -> bool;

    auto fold(const messages::log_record& item, follower_actions& actions) -> void;
    auto install_state(state newer, follower_actions& actions) -> void;
    /// Updates the state's pending withdrawals after folds, and notes the time of a new checkpoint.
    auto update_after_fold(common::time_point now) -> void;
    auto add_evidence(common::time_point as_of) -> void;
    auto schedule_read_retry(common::time_point now) -> void;
    auto random_fraction() -> double;
    auto add_jitter(common::duration span) -> common::duration;

    follower_settings settings;
    std::string key;
    std::mt19937_64 random;
    follower_environment environment;
    follower_counters counts;

    state current_state;
    bool ready = false;
    record_buffer recent_records;
    withdrawal_table pending_withdrawals;
    std::optional<common::time_point> evidence;
    common::log_offset log_oldest;
    common::log_offset last_checkpoint;
    /// When this process folded the newest checkpoint, or started if it has folded none.
    common::time_point last_checkpoint_at{};

    std::optional<read_call> read_in_flight;
    std::optional<checkpoint_scan> scan;
    common::time_point next_read_at{};
    common::duration retry_delay{};
    /// When a process that is no tailer reads the log itself.
    common::time_point own_read_at{};
    bool has_started = false;
    bool is_refresh_requested = false;
    common::log_offset expected_offset;
    common::time_point expected_deadline{};

    std::map<std::uint64_t, common::time_point> pulls_in_flight;
    common::time_point next_pull_at{};
    std::uint32_t failed_pulls = 0;
    bool pull_tailer_next = true;
    std::uint64_t last_ticket = 0;
};

} // namespace reedramp::inventory
