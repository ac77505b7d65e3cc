#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "agent/backend.hpp"
#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "common/units.hpp"
#include "inventory/state.hpp"
#include "messages/channel.hpp"
#include "messages/run.hpp"
#include "placement/fair_queue.hpp"

namespace reedramp::agent {

struct core_options {
    common::server_id server;
    common::incarnation_id incarnation;
    /// What the backend server gets at once, and the queue before it.
    placement::fair_queue_settings queue;
    /// How long a request may wait for the agent's configuration to reach the entry's.
    common::duration configuration_wait_limit = std::chrono::seconds(2);
    /// How long an ended request is remembered, so that a late copy of it is refused. A request's
    /// deadline may not be further away than half of it.
    common::duration record_window = std::chrono::minutes(15);
    /// Records that new work may use; a quarter more is held for refusals.
    std::size_t record_limit = 100'000;
    /// Bytes of finished at-most-once answers kept for retries.
    std::size_t kept_answers_limit = std::size_t{16} * 1024 * 1024;
    /// A larger answer is not kept; its outcome is.
    std::size_t kept_answer_limit = std::size_t{1024} * 1024;
};

/// What a run used, reported once for each call that was started.
struct usage_report {
    messages::run_key key;
    common::organisation_id organisation;
    common::version_id version;
    messages::usage used;
};

struct core_hooks {
    common::clock_hook now;
    common::timer_hook timer;
    /// Runs an action soon, on another stack.
    std::function<auto(std::function<auto()->void> action)->void> post;
    start_call_hook start;
    /// The newest configuration; at offset 0 before the first one.
    std::function<auto()->inventory::snapshot_ptr> snapshot;
    /// Until when it is known to be current.
    std::function<auto()->common::time_point> current_until;
    /// Asks the follower to fetch configuration up to this offset now. May be empty.
    std::function<auto(common::log_offset wanted)->void> fetch_configuration;
    /// May be empty.
    std::function<auto(const usage_report& report)->void> report_usage;
};

/// Counters for metrics; each only grows, but for the three gauges at the end.
struct core_counters {
    std::uint64_t accepted = 0;
    std::uint64_t started = 0;
    std::uint64_t finished = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t in_flight = 0;
    std::uint64_t queued = 0;
    std::uint64_t records = 0;
};

/// The agent's decisions. All members may be called from any thread; hooks are called outside
/// locks.
class core {
public:
    static auto create(core_options options, core_hooks hooks) -> std::shared_ptr<core>;

    virtual ~core() = default;

    /// What `wire` serves to entries. It keeps the core alive.
    virtual auto service() -> messages::agent_service = 0;

    /// A newer configuration is in force: work that waited for it goes on.
    virtual auto configuration_changed() -> void = 0;

    /// Ends what has timed out: queued requests past their deadline, old records. Call it every
    /// 100 ms or so; deadlines also have timers of their own.
    virtual auto tick() -> void = 0;

    /// Starts the graceful shutdown: probes say "leaving" at once, new and queued work is refused
    /// (recorded), what runs goes on. Repeats do nothing.
    virtual auto drain() -> void = 0;

    [[nodiscard]] virtual auto is_leaving() const -> bool = 0;

    /// Nothing is queued or running.
    [[nodiscard]] virtual auto is_idle() const -> bool = 0;

    /// Ends all runs as `failed` with `server_lost`, when a drain's deadline has passed. Gives
    /// the number of runs that were cut.
    virtual auto fail_all_runs() -> std::size_t = 0;

    [[nodiscard]] virtual auto counters() const -> core_counters = 0;
};

} // namespace reedramp::agent
