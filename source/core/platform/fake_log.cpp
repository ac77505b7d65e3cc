#include "platform/fake_log.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::platform {

using common::failure;
using common::result_code;

fake_log::fake_log(common::clock_hook initial_clock, common::timer_hook initial_timers)
    : clock(std::move(initial_clock)), timers(std::move(initial_timers))
{
}

auto fake_log::hooks() -> log_hooks
{
    log_hooks result;
    result.append =
        [this](std::string stream, std::string data, answer_hook<common::log_offset> done) {
            this->append(stream, std::move(data), std::move(done));
        };
    result.read = [this](
                      std::string stream,
                      common::log_offset after,
                      std::chrono::milliseconds wait,
                      answer_hook<read_answer> done) {
        this->read(stream, after, wait, std::move(done));
    };
    return result;
}

auto fake_log::set_faults(log_faults new_faults) -> void
{
    this->current = new_faults;
    if (!new_faults.down) {
        return;
    }
    for (auto& [name, state] : this->streams) {
        auto readers = std::exchange(state.readers, {});
        for (auto& [reader_id, waiting] : readers) {
            this->answer_later([done = std::move(waiting.done)] {
                done(failure(result_code::log_unavailable, "the log is down"));
            });
        }
    }
}

auto fake_log::put(const std::string& stream, std::string data) -> common::log_offset
{
    auto& state = this->streams[stream];
    ++state.last_offset;
    const common::log_offset offset{state.last_offset};
    state.records.push_back({offset, std::move(data)});
    this->trim_to_retention(state);
    this->answer_ready_readers(state);
    return offset;
}

auto fake_log::trim(const std::string& stream, common::log_offset oldest) -> void
{
    auto& records = this->streams[stream].records;
    while (!records.empty() && records.front().offset < oldest) {
        records.pop_front();
    }
}

auto fake_log::keep(std::size_t records) -> void
{
    this->retention = records;
    for (auto& [name, state] : this->streams) {
        this->trim_to_retention(state);
    }
}

auto fake_log::trim_to_retention(stream_state& state) const -> void
{
    while (this->retention != 0 && state.records.size() > this->retention) {
        state.records.pop_front();
    }
}

auto fake_log::head(const std::string& stream) const -> common::log_offset
{
    const auto found = this->streams.find(stream);
    return common::log_offset{found == this->streams.end() ? 0 : found->second.last_offset};
}

auto fake_log::oldest(const std::string& stream) const -> common::log_offset
{
    const auto found = this->streams.find(stream);
    if (found == this->streams.end()) {
        return common::log_offset{1};
    }
    const auto& state = found->second;
    return common::log_offset{state.last_offset - state.records.size() + 1};
}

auto fake_log::records(const std::string& stream) const -> std::vector<messages::log_record>
{
    const auto found = this->streams.find(stream);
    if (found == this->streams.end()) {
        return {};
    }
    return {found->second.records.begin(), found->second.records.end()};
}

auto fake_log::append(
    const std::string& stream, std::string data, answer_hook<common::log_offset> done) -> void
{
    if (this->current.down || !this->try_acquire_append()) {
        const auto* why = this->current.down ? "the log is down" : "too many appends per second";
        this->answer_later(
            [done = std::move(done), why] { done(failure(result_code::log_unavailable, why)); });
        return;
    }
    const auto is_affected = [count = this->append_attempts](std::uint32_t interval) {
        return interval != 0 && count % interval == 0;
    };
    if (is_affected(this->current.lose_append_every)) {
        this->answer_later([done = std::move(done)] {
            done(failure(result_code::append_unknown, "the append was lost"));
        });
        return;
    }
    const auto offset = this->put(stream, std::move(data));
    ++this->appended;
    if (is_affected(this->current.lose_answer_every)) {
        this->answer_later([done = std::move(done)] {
            done(failure(result_code::append_unknown, "the answer was lost"));
        });
        return;
    }
    this->answer_later([done = std::move(done), offset] { done(offset); });
}

auto fake_log::read(
    const std::string& stream,
    common::log_offset after,
    std::chrono::milliseconds wait,
    answer_hook<read_answer> done) -> void
{
    if (this->current.down) {
        this->answer_later([done = std::move(done)] {
            done(failure(result_code::log_unavailable, "the log is down"));
        });
        return;
    }
    auto& state = this->streams[stream];
    const auto is_at_head = after.value() >= state.last_offset;
    if (is_at_head && wait > std::chrono::milliseconds::zero()) {
        const auto reader_id = this->next_reader_id++;
        const auto until = this->clock() + wait;
        state.readers.emplace(reader_id, reader{after, until, std::move(done)});
        this->timers(until, [this, stream, reader_id] { this->expire_reader(stream, reader_id); });
        return;
    }
    this->answer_later(
        [done = std::move(done), answer = make_answer(state, after)] { done(answer); });
}

auto fake_log::try_acquire_append() -> bool
{
    ++this->append_attempts;
    const auto now = this->clock();
    if (now >= this->window_end) {
        this->window_end = now + std::chrono::seconds(1);
        this->appends_in_window = 0;
    }
    const auto limit = this->current.appends_per_second;
    if (limit != 0 && this->appends_in_window >= limit) {
        return false;
    }
    ++this->appends_in_window;
    return true;
}

auto fake_log::answer_ready_readers(stream_state& state) -> void
{
    auto readers = std::exchange(state.readers, {});
    for (auto& [reader_id, waiting] : readers) {
        if (waiting.after.value() >= state.last_offset) {
            state.readers.emplace(reader_id, std::move(waiting));
            continue;
        }
        this->answer_later([done = std::move(waiting.done),
                            answer = make_answer(state, waiting.after)] { done(answer); });
    }
}

auto fake_log::expire_reader(const std::string& stream, std::uint64_t reader_id) -> void
{
    auto& state = this->streams[stream];
    auto expired = state.readers.extract(reader_id);
    if (expired.empty()) {
        return;
    }
    const auto answer = make_answer(state, expired.mapped().after);
    this->answer_later([done = std::move(expired.mapped().done), answer] { done(answer); });
}

auto fake_log::make_answer(const stream_state& state, common::log_offset after)
    -> common::result<read_answer>
{
    const auto oldest = state.last_offset - state.records.size() + 1;
    if (after.value() + 1 < oldest) {
        return failure(result_code::log_trimmed, "oldest=" + std::to_string(oldest));
    }
    read_answer answer;
    answer.head = common::log_offset{state.last_offset};
    answer.oldest = common::log_offset{oldest};
    const auto first = std::ranges::find_if(
        state.records, [after](const auto& record) { return record.offset > after; });
    answer.records.assign(first, state.records.end());
    return answer;
}

auto fake_log::answer_later(std::function<auto()->void> answer) -> void
{
    this->timers(this->clock() + this->current.slow, std::move(answer));
}

} // namespace reedramp::platform
