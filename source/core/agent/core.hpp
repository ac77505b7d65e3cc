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
    /// Concurrency limits of the backend server and the queue in front of it.
    placement::fair_queue_settings queue;
    /// How long a request may wait until the agent has the configuration that the entry used.
    common::duration configuration_wait_limit = std::chrono::seconds(2);
    /// How long the record of an ended request is kept, so that a late copy of it is refused. A
    /// request's deadline is at most half of this away.
    common::duration record_window = std::chrono::minutes(15);
    /// Records available to new requests; another quarter of this is reserved for refusals.
    std::size_t record_limit = 100'000;
    /// Total bytes of at-most-once answers kept for retries.
    std::size_t kept_answers_limit = std::size_t{16} * 1024 * 1024;
    /// Bytes of one kept answer. Of a larger answer only the outcome is recorded.
    std::size_t kept_answer_limit = std::size_t{1024} * 1024;
};

/// Token usage of a run, reported once for each call started.
struct usage_report {
    messages::run_key key;
    common::organisation_id organisation;
    common::version_id version;
    messages::usage used;
};

struct core_hooks {
    common::clock_hook now;
    common::timer_hook timer;
    /// Runs the action asynchronously, never from within the call.
    std::function<auto(std::function<auto()->void> action)->void> post;
    start_call_hook start;
    /// Newest configuration; its offset is 0 before the first one was received.
    std::function<auto()->inventory::snapshot_ptr> snapshot;
    /// Time until which the snapshot is known to be current.
    std::function<auto()->common::time_point> current_until;
    /// Requests the configuration up to this offset from the follower. May be empty.
    std::function<auto(common::log_offset wanted)->void> fetch_configuration;
    /// May be empty.
    std::function<auto(const usage_report& report)->void> report_usage;
};

/// Values for metrics: counters, and three gauges at the end.
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

/// Decides which requests run on the backend server and records their outcomes. Thread-safe; hooks
/// are called outside locks.
class core {
public:
    static auto create(core_options options, core_hooks hooks) -> std::shared_ptr<core>;

    virtual ~core() = default;

    /// Service offered to entries through `wire`. The returned functions keep the core alive.
    virtual auto service() -> messages::agent_service = 0;

    /// Call when a newer configuration is in force; continues the requests that waited for it.
    virtual auto configuration_changed() -> void = 0;

    /// Refuses queued requests that cannot finish in time and expires old records. Call about every
    /// 100 ms; deadlines have timers besides.
    virtual auto tick() -> void = 0;

    /// Starts the graceful shutdown: probes report "leaving", new and queued requests are refused
    /// and recorded, and running ones continue. Further calls do nothing.
    virtual auto drain() -> void = 0;

    [[nodiscard]] virtual auto is_leaving() const -> bool = 0;

    /// True if no request is waiting, queued or running.
    [[nodiscard]] virtual auto is_idle() const -> bool = 0;

    /// Ends all runs as `failed` with `server_lost`; called when a drain exceeds its limit. Returns
    /// the number of runs ended.
    virtual auto fail_all_runs() -> std::size_t = 0;

    [[nodiscard]] virtual auto counters() const -> core_counters = 0;
};

} // namespace reedramp::agent
