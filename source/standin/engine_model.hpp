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

/// The time behaviour of a model engine with continuous batching, without I/O: `slots` requests run
/// at a time, each first reads its prompt (prefill) and then makes a token each so many
/// microseconds; others wait by priority.
namespace reedramp::standin {

struct engine_speed {
    std::uint32_t slots = 8;
    std::uint32_t queue_limit = 1024;
    std::uint32_t prefill_us_per_token = 0;
    std::uint32_t decode_us_per_token = 0;
};

struct engine_job {
    std::uint64_t id = 0;
    /// Larger is served first.
    std::int64_t priority = 0;
    /// Prompt tokens that no cache spares.
    std::uint64_t prefill_tokens = 0;
    /// Tokens that are to be made.
    std::uint64_t tokens = 0;
    /// Whether progress is told token by token, or only the end.
    bool stream = false;
    /// Time before the prefill, by a fault.
    common::duration extra{};
};

/// How far one job is.
struct engine_progress {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
    bool finished = false;
};

class engine_model {
public:
    explicit engine_model(engine_speed given) : speed(given) {}

    /// False if the queue is full.
    auto submit(const engine_job& job, common::time_point now) -> bool;
    auto cancel(std::uint64_t id, common::time_point now) -> void;

    /// What has become of the running jobs by `now`; starts waiting ones in freed slots.
    auto advance(common::time_point now) -> std::vector<engine_progress>;

    /// When to call `advance` next; nothing while no job runs.
    [[nodiscard]] auto next_due() const -> std::optional<common::time_point>;

    [[nodiscard]] auto running_count() const -> std::size_t { return this->running.size(); }

    [[nodiscard]] auto queued_count() const -> std::size_t { return this->queue.size(); }

    /// Roughly how long a new job would wait for a slot.
    [[nodiscard]] auto estimated_wait(common::time_point now) const -> common::duration;

private:
    struct run {
        engine_job job;
        common::time_point first_token_at{};
        common::time_point finish_at{};
        /// When its progress is to be told next.
        common::time_point due{};
    };

    /// Jobs with the larger priority first, then the older ones.
    using queue_key = std::pair<std::int64_t, std::uint64_t>;

    auto start(const engine_job& job, common::time_point now) -> void;
    auto fill_slots(common::time_point now) -> void;
    [[nodiscard]] auto time_of(const engine_job& job) const -> common::duration;
    [[nodiscard]] auto tokens_at(const run& which, common::time_point now) const -> std::uint64_t;

    engine_speed speed;
    std::vector<run> running;
    std::map<queue_key, engine_job> queue;
};

/// Which message prefixes the engine holds; bounded, the least recently used goes first.
class prefix_cache {
public:
    explicit prefix_cache(std::size_t entry_limit) : limit(entry_limit) {}

    /// Notes the use of a prefix and tells whether it was held.
    auto use(std::uint64_t prefix_hash) -> bool;

    [[nodiscard]] auto hits() const -> std::uint64_t { return this->hit_count; }

    auto count_hit() -> void { ++this->hit_count; }

private:
    std::size_t limit;
    std::uint64_t hit_count = 0;
    /// Most recently used first.
    std::list<std::uint64_t> order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
};

} // namespace reedramp::standin
