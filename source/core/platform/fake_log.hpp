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

/// What can be wrong with the fake log. Zero switches a fault off.
struct log_faults {
    /// Appends and reads are refused with `log_unavailable`; long polls under way too.
    bool down = false;
    /// How much later each answer comes. The effect itself is at once.
    common::duration slow{};
    /// Of each so many appends the last takes effect, and its answer is `append_unknown`.
    std::uint32_t lose_answer_every = 0;
    /// Of each so many appends the last takes no effect, and its answer is `append_unknown`.
    std::uint32_t lose_append_every = 0;
    /// More appends than this within a second are refused with `log_unavailable`.
    std::uint32_t appends_per_second = 0;
};

/// The append-only log in memory, for tests and for the stand-in. It reads no clock: time and
/// timers are given. Answers come through a timer, never from inside the call. One thread only.
class fake_log {
public:
    fake_log(common::clock_hook clock, common::timer_hook timers);

    fake_log(const fake_log&) = delete;
    auto operator=(const fake_log&) -> fake_log& = delete;

    /// The hooks refer to this object, which has to outlive them and their timers.
    auto hooks() -> log_hooks;

    auto set_faults(log_faults wanted) -> void;

    [[nodiscard]] auto faults() const -> const log_faults& { return this->current; }

    /// Appends whatever the faults say, as an operator's or another process's record.
    auto put(const std::string& stream, std::string data) -> common::log_offset;

    /// Drops the records before `oldest`.
    auto trim(const std::string& stream, common::log_offset oldest) -> void;

    /// Keeps only the newest so many records of each stream from now on; 0 keeps all.
    auto keep(std::size_t records) -> void;

    [[nodiscard]] auto head(const std::string& stream) const -> common::log_offset;
    [[nodiscard]] auto oldest(const std::string& stream) const -> common::log_offset;

    /// All records that the stream still holds.
    [[nodiscard]] auto records(const std::string& stream) const
        -> std::vector<messages::log_record>;

    /// Appends that took effect through the hooks, in all streams.
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

    /// Whether one more append fits in the running second.
    auto take_append_slot() -> bool;
    auto drop_old(stream_state& state) const -> void;
    auto wake_readers(stream_state& state) -> void;
    auto expire_reader(const std::string& stream, std::uint64_t ticket) -> void;
    static auto answer_for(const stream_state& state, common::log_offset after)
        -> common::result<read_answer>;
    auto answer_later(std::function<auto()->void> answer) -> void;

    common::clock_hook clock;
    common::timer_hook timers;
    log_faults current;
    std::map<std::string, stream_state> streams;
    std::size_t kept_records = 0;
    std::uint64_t asked_appends = 0;
    std::uint64_t appended = 0;
    std::uint64_t next_ticket = 0;
    common::time_point second_ends{};
    std::uint32_t appends_in_second = 0;
};

} // namespace reedramp::platform
