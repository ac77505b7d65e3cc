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

struct read_order {
    common::log_offset after;
    std::chrono::milliseconds wait{};
    std::uint64_t ticket = 0;
};

struct pull_order {
    messages::rpc_address to;
    messages::configuration_pull pull;
    std::uint64_t ticket = 0;
};

/// Append this record, which withdraws `version`; its `at` is yet to be set.
struct append_order {
    common::version_id version;
    record item;
};

struct log_note {
    common::log_level level = common::log_level::info;
    std::string text;
};

/// What the surrounding program is to do after an event.
struct follower_actions {
    std::optional<read_order> read;
    std::vector<pull_order> pulls;
    std::vector<append_order> appends;
    std::vector<log_note> notes;
    /// There is a new state to decide by.
    bool changed = false;
};

/// What a process knows of its surroundings at a tick.
struct follower_surroundings {
    bool is_tailer = false;
    std::vector<messages::rpc_address> peers;
    std::vector<messages::rpc_address> tailers;
};

/// What to tell a peer; a checkpoint of the state is to be added if `needs_checkpoint`.
struct pull_reply {
    messages::configuration_push push;
    bool needs_checkpoint = false;
};

/// The decisions of `follower`: state + event + now -> actions. Not thread-safe.
class follower_core {
public:
    follower_core(follower_settings settings, std::string shared_key, std::uint64_t seed);

    auto tick(common::time_point now, follower_surroundings around) -> follower_actions;

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

    /// When to call `tick` next, later than `now`.
    [[nodiscard]] auto next_wake(common::time_point now) const -> common::time_point;

    [[nodiscard]] auto is_ready() const -> bool { return this->ready; }

    [[nodiscard]] auto current() const -> const state& { return this->folded; }

    [[nodiscard]] auto evidence_time() const -> std::optional<common::time_point>
    {
        return this->evidence;
    }

    [[nodiscard]] auto current_until() const -> common::time_point;
    [[nodiscard]] auto checkpoint_due(common::time_point now) const -> bool;

    [[nodiscard]] auto counters() const -> const follower_counters& { return this->counts; }

private:
    struct flight {
        std::uint64_t ticket = 0;
        common::time_point sent;
        std::chrono::milliseconds wait{};
        /// The answer brings what comes after this offset.
        common::log_offset after;
    };

    /// What is due now: reads, pulls, appends.
    auto step(common::time_point now, follower_actions& actions) -> void;
    auto expire(common::time_point now) -> void;
    [[nodiscard]] auto wants_read(common::time_point now) const -> bool;
    auto send_read(common::time_point now, follower_actions& actions) -> void;
    auto send_pull(common::time_point now, follower_actions& actions) -> void;
    auto
    pull_from(const messages::rpc_address& to, common::time_point now, follower_actions& actions)
        -> void;
    auto tell_peers(common::time_point now, follower_actions& actions) -> void;
    auto send_appends(common::time_point now, follower_actions& actions) -> void;

    auto take_records(
        const platform::read_answer& answer,
        const flight& sent,
        common::time_point now,
        follower_actions& actions) -> void;
    auto take_scan(
        const platform::read_answer& answer,
        const flight& sent,
        common::time_point now,
        follower_actions& actions) -> void;
    auto read_failed(const common::error& why, common::time_point now, follower_actions& actions)
        -> void;
    auto take_push(
        const messages::configuration_push& push,
        common::time_point sent,
        common::time_point now,
        follower_actions& actions) -> void;
    auto take_peer_checkpoint(const std::string& text, follower_actions& actions) -> void;
    auto take_withdrawals(
        const std::vector<messages::withdrawal>& items,
        common::time_point now,
        follower_actions& actions) -> void;
    auto take_withdrawal(
        const messages::withdrawal& item, common::time_point now, follower_actions& actions)
        -> bool;

    auto fold(const messages::log_record& item, follower_actions& actions) -> void;
    auto install(state newer, follower_actions& actions) -> void;
    /// Brings the pending withdrawals into the state after folds, and notes a new checkpoint.
    auto settle(common::time_point now) -> void;
    auto add_evidence(common::time_point as_of) -> void;
    auto back_off(common::time_point now) -> void;
    auto random_share() -> double;
    auto spread(common::duration span) -> common::duration;

    follower_settings settings;
    std::string key;
    std::mt19937_64 random;
    follower_surroundings around;
    follower_counters counts;

    state folded;
    bool ready = false;
    record_buffer kept;
    withdrawal_table pending;
    std::optional<common::time_point> evidence;
    common::log_offset log_oldest;
    common::log_offset seen_checkpoint;
    /// When the newest checkpoint came into force here, or this process started without one.
    common::time_point checkpoint_seen_at{};

    std::optional<flight> read_under_way;
    std::optional<checkpoint_scan> scan;
    common::time_point next_read_at{};
    common::duration retry_pause{};
    /// When a process that does not tail reads the log itself.
    common::time_point own_read_at{};
    bool has_started = false;
    bool refresh_wanted = false;
    common::log_offset expected;
    common::time_point expected_until{};

    std::map<std::uint64_t, common::time_point> pulls_under_way;
    common::time_point next_pull_at{};
    std::uint32_t failed_pulls = 0;
    bool pull_tailer_next = true;
    std::uint64_t last_ticket = 0;
};

} // namespace reedramp::inventory
