#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "common/units.hpp"

/// Timing model of a model engine with continuous batching, without I/O. Up to `slots` requests run
/// concurrently; each first processes its prompt (prefill) and then generates tokens at a fixed
/// interval (decode). Other requests wait in a priority queue.
namespace reedramp::standin {

struct engine_speed {
    std::uint32_t slots = 8;
    std::uint32_t queue_limit = 1024;
    std::uint32_t prefill_us_per_token = 0;
    std::uint32_t decode_us_per_token = 0;
};

struct engine_job {
    std::uint64_t id = 0;
    /// Jobs with a larger value start first.
    std::int64_t priority = 0;
    /// Prompt tokens that are not in the prefix cache.
    std::uint64_t prefill_tokens = 0;
    /// Number of tokens to generate.
    std::uint64_t tokens = 0;
    /// Whether progress is reported as tokens are generated, or only at the end.
    bool stream = false;
    /// Additional delay before the prefill, caused by a fault.
    common::duration extra{};
};

/// Progress of one job: the tokens that it has generated, and whether it has finished.
struct engine_progress {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
    bool finished = false;
};

/// Tracks the running and queued jobs; the caller supplies the current time. Not thread-safe.
class engine_model {
public:
    explicit engine_model(engine_speed initial_speed) : speed(initial_speed) {}

    /// Starts or queues a job. Returns false if the queue is full.
    auto submit(const engine_job& job, common::time_point now) -> bool;
    /// Removes a running or queued job, and starts queued jobs in the freed slot.
    auto cancel(std::uint64_t id, common::time_point now) -> void;

    /// Returns the progress of the running jobs that are due by `now`, removes finished jobs and
    /// starts queued ones in the freed slots.
    auto advance(common::time_point now) -> std::vector<engine_progress>;

    /// Returns when to call `advance` next, or nullopt while no job runs.
    [[nodiscard]] auto next_due() const -> std::optional<common::time_point>;

    [[nodiscard]] auto running_count() const -> std::size_t { return this->running.size(); }

    [[nodiscard]] auto queued_count() const -> std::size_t { return this->queue.size(); }

    /// Returns an estimate of how long a new job would wait for a slot.
    [[nodiscard]] auto estimated_wait(common::time_point now) const -> common::duration;

private:
    struct active_job {
        engine_job job;
        common::time_point first_token_at{};
        common::time_point finish_at{};
        /// When the job's progress is to be reported next.
        common::time_point next_progress_at{};
    };

    /// Negated priority and job id: sorts by descending priority, then by age.
    using queue_key = std::pair<std::int64_t, std::uint64_t>;

    auto start(const engine_job& job, common::time_point now) -> void;
    auto fill_slots(common::time_point now) -> void;
    [[nodiscard]] auto estimate_duration(const engine_job& job) const -> common::duration;
    [[nodiscard]] auto tokens_generated_by(const active_job& entry, common::time_point now) const
        -> std::uint64_t;

    engine_speed speed;
    std::vector<active_job> running;
    std::map<queue_key, engine_job> queue;
};

/// LRU cache of the message prefixes that the engine has processed.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t entry_limit) : limit(entry_limit) {}

    /// Looks up a prefix and adds it if it is missing; makes it the most recently used. Returns
    /// whether it was cached. Does not count hits.
    auto use(std::uint64_t prefix_hash) -> bool;

    [[nodiscard]] auto hits() const -> std::uint64_t { return this->hit_count; }

    auto count_hit() -> void { ++this->hit_count; }

private:
    std::size_t limit;
    std::uint64_t hit_count = 0;
    /// Most recently used first.
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions;
};

} // namespace reedramp::standin
