#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/hooks.hpp"
#include "platform/hooks.hpp"

namespace reedramp::platform {

/// Faults of the fake log. A value of zero disables a fault.
struct log_faults {
    /// Appends and reads fail with `log_unavailable`, pending long polls included.
    bool down = false;
    /// Delay of each answer. Appends still take effect immediately.
    common::duration slow{};
    /// Every n-th append takes effect, but is answered with `append_unknown`.
    std::uint32_t lose_answer_every = 0;
    /// Every n-th append takes no effect and is answered with `append_unknown`.
    std::uint32_t lose_append_every = 0;
    /// Further appends within the same second fail with `log_unavailable`.
    std::uint32_t appends_per_second = 0;
};

/// An in-memory append-only log for tests and the stand-in. Time and timers are injected. Answers
/// are delivered by a timer, never from inside the call. Not thread-safe.
class fake_log {
public:
    fake_log(common::clock_hook clock, common::timer_hook timers);

    fake_log(const fake_log&) = delete;
    auto operator=(const fake_log&) -> fake_log& = delete;

    /// The returned hooks refer to this object, which has to outlive them and their timers.
    auto hooks() -> log_hooks;

    auto set_faults(log_faults new_faults) -> void;

    [[nodiscard]] auto faults() const -> const log_faults& { return this->current; }

    /// Appends a record regardless of the faults, as if written by an operator or another process.
    auto put(const std::string& stream, std::string data) -> common::log_offset;

    /// Removes the records before `oldest`.
    auto trim(const std::string& stream, common::log_offset oldest) -> void;

    /// Limits each stream to its newest `records` records from now on; 0 for no limit.
    auto keep(std::size_t records) -> void;

    [[nodiscard]] auto head(const std::string& stream) const -> common::log_offset;
    [[nodiscard]] auto oldest(const std::string& stream) const -> common::log_offset;

    /// All records that have not been trimmed.
    [[nodiscard]] auto records(const std::string& stream) const
        -> std::vector<messages::log_record>;

    /// Number of appends through the hooks that took effect, over all streams.
    [[nodiscard]] auto append_count() const -> std::uint64_t { return this->appended; }

private:
    struct reader {
        common::log_offset after;
        common::time_point until;
        answer_hook<read_answer> done;
    };

    struct stream_state {
        std::deque<messages::log_record> records;
        std::uint64_t last_offset = 0;
        std::map<std::uint64_t, reader> readers;
    };

    auto append(const std::string& stream, std::string data, answer_hook<common::log_offset> done)
        -> void;
    auto read(
        const std::string& stream,
        common::log_offset after,
        std::chrono::milliseconds wait,
        answer_hook<read_answer> done) -> void;

    /// Counts an append; returns whether it is within the rate limit of the current second.
    auto try_acquire_append() -> bool;
    auto trim_to_retention(stream_state& state) const -> void;
    auto answer_ready_readers(stream_state& state) -> void;
    auto expire_reader(const std::string& stream, std::uint64_t reader_id) -> void;
    static auto make_answer(const stream_state& state, common::log_offset after)
        -> common::result<read_answer>;
    auto answer_later(std::function<auto()->void> answer) -> void;

    common::clock_hook clock;
    common::timer_hook timers;
    log_faults current;
    std::map<std::string, stream_state> streams;
    std::size_t retention = 0;
    std::uint64_t append_attempts = 0;
    std::uint64_t appended = 0;
    std::uint64_t next_reader_id = 0;
    common::time_point window_end{};
    std::uint32_t appends_in_window = 0;
};

} // namespace reedramp::platform
