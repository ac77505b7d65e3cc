#include "inventory/checkpoint_scan.hpp"

#include <algorithm>
#include <utility>

#include "inventory/checkpoint.hpp"
#include "inventory/fold.hpp"

namespace reedramp::inventory {

namespace {

/// An offset greater than that of any record.
constexpr common::log_offset offset_past_head{std::uint64_t{1} << 62U};

constexpr std::uint64_t window_growth = 4;

} // namespace

checkpoint_scan::checkpoint_scan(std::uint64_t first_window)
    : window(std::max<std::uint64_t>(first_window, 1))
{
}

auto checkpoint_scan::next_read() const -> common::log_offset
{
    return this->has_bounds ? this->cursor : offset_past_head;
}

auto checkpoint_scan::apply_answer(const platform::read_answer& answer) -> scan_step
{
    if (!this->has_bounds) {
        this->set_bounds(answer);
        return this->head == common::log_offset{} ? scan_step::found : scan_step::reading;
    }
    if (answer.head < this->cursor) {
        return scan_step::behind;
    }
    for (const auto& item : answer.records) {
        this->apply_record(item);
    }
    const auto is_at_head = this->cursor >= answer.head;
    if (!is_at_head) {
        return answer.records.empty() ? scan_step::behind : scan_step::reading;
    }
    if (this->candidate) {
        return scan_step::found;
    }
    if (this->start == this->floor) {
        return scan_step::no_checkpoint;
    }
    this->window *= window_growth;
    this->begin_window();
    return scan_step::reading;
}

auto checkpoint_scan::take_state() -> state
{
    return std::exchange(this->candidate, std::nullopt).value_or(state{});
}

auto checkpoint_scan::set_bounds(const platform::read_answer& answer) -> void
{
    this->has_bounds = true;
    this->head = answer.head;
    this->floor = common::log_offset{std::max<std::uint64_t>(answer.oldest.value(), 1) - 1};
    this->begin_window();
}

auto checkpoint_scan::begin_window() -> void
{
    const auto last = this->head.value();
    const auto wanted = last > this->window ? last - this->window : 0;
    this->start = std::max(this->floor, common::log_offset{wanted});
    this->cursor = this->start;
    this->buffered.clear();
    this->candidate.reset();
    if (this->start == common::log_offset{}) {
        // No record precedes the window, so its records make up the whole state.
        this->candidate.emplace();
    }
}

auto checkpoint_scan::apply_record(const messages::log_record& item) -> void
{
    if (item.offset <= this->cursor) {
        return;
    }
    this->cursor = item.offset;
    if (!this->candidate && looks_like_checkpoint(item.data)) {
        this->try_checkpoint(item);
    }
    if (this->candidate) {
        const auto outcome = apply(*this->candidate, item);
        this->bad_count += outcome.code == common::result_code::bad_checkpoint ? 1 : 0;
        return;
    }
    this->buffered.push_back(item);
}

auto checkpoint_scan::try_checkpoint(const messages::log_record& item) -> void
{
    auto sound = parse_checkpoint(item.data);
    if (!sound) {
        // Counted when it is folded, which refuses it in all processes.
        return;
    }
    // A checkpoint of a state before the window would need records that were not read.
    if (sound->offset < this->start || sound->offset >= item.offset) {
        return;
    }
    this->candidate = std::move(*sound);
    for (const auto& earlier : this->buffered) {
        const auto outcome = apply(*this->candidate, earlier);
        this->bad_count += outcome.code == common::result_code::bad_checkpoint ? 1 : 0;
    }
    this->buffered.clear();
}

} // namespace reedramp::inventory
