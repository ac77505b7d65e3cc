#include "routing/list_freshness.hpp"

#include <algorithm>

#include "routing/stream_position.hpp"

namespace reedramp::routing {

auto list_freshness::note_read(
    std::uint64_t end, bool has_changed, time_point now, std::optional<time_point> asked_at) -> void
{
    this->position = end;
    if (has_changed || !this->has_read) {
        this->changed = std::max(this->changed, end);
    }
    // The store returns everything that it has, so a change beyond `end` that was reported before
    // this query does not exist. Keeping it would make this entry read again and again.
    if (this->changed > end && this->lacking_since < asked_at.value_or(now)) {
        this->changed = end;
    }
    this->has_read = true;
    this->own_read_at = now;
    this->current_at = std::max(asked_at.value_or(now), now - this->settings.max_answer_age);
    this->own_readings += 1;
    this->current_reader = this->settings.reader;
    this->current_number = this->own_readings;
    this->contact.note_answer(now);
}

auto list_freshness::note_handed_on(std::uint64_t end) -> void
{
    this->position = end;
    this->has_read = true;
}

auto list_freshness::note_new_era(time_point now) -> void
{
    this->contact.note_return(now);
    // Positions of the previous era say nothing about the end of the list now.
    this->changed = 0;
}

auto list_freshness::is_new_reading(const freshness_report& report) -> bool
{
    if (report.reader == 0) {
        return true;
    }
    if (report.reader == this->settings.reader) {
        return false; // Its own reading, returned by a peer.
    }
    // Each process has its own reader id; those that have ended need not be kept.
    constexpr std::size_t max_readers = 2048;
    if (this->newest_of.size() >= max_readers) {
        this->newest_of.clear();
    }
    auto& newest = this->newest_of[report.reader];
    const bool is_new = report.number > newest;
    newest = std::max(newest, report.number);
    return is_new;
}

auto list_freshness::apply_report(const freshness_report& report, time_point now) -> bool
{
    const auto era_of = [](std::uint64_t at) {
        return stream_position{at}.era();
    };
    if (this->has_read && era_of(report.changed) < era_of(this->position)) {
        return false; // The sender does not know yet that the store was restored from an older
                      // copy.
    }
    const auto read_at = now - std::max(report.age, std::chrono::milliseconds{0});
    const bool is_new = this->is_new_reading(report);
    this->contact.apply_report(read_at - report.steady, read_at, now, is_new);
    if (report.changed > this->changed) {
        const bool lacked_none = !this->lacks_change();
        this->changed = report.changed;
        this->lacking_since = lacked_none ? now : this->lacking_since;
    }
    const bool is_covered = this->has_read && report.changed <= this->position;
    if (is_new && is_covered && read_at > this->current_at) {
        this->current_at = read_at;
        this->current_reader = report.reader;
        this->current_number = report.number;
    }
    return is_new;
}

auto list_freshness::make_report(time_point now) const -> freshness_report
{
    // A change that was only reported is not passed on as known: this entry's list lacks it.
    const auto known = std::min(this->changed, this->position);
    if (!this->has_read) {
        return {known, std::chrono::hours{1}, {}};
    }
    const auto in_ms = [](common::duration time) {
        return std::max(
            std::chrono::duration_cast<std::chrono::milliseconds>(time),
            std::chrono::milliseconds{0});
    };
    return {
        known,
        in_ms(now - this->current_at),
        in_ms(this->current_at - this->contact.steady_since(now)),
        this->current_reader,
        this->current_number};
}

auto list_freshness::is_due(std::size_t rank, time_point now, bool is_reader) const -> bool
{
    if (!this->has_read) {
        return true;
    }
    if (this->lacks_change() && now - this->lacking_since >= this->settings.forward_wait) {
        return true;
    }
    const auto steps = static_cast<int>(std::min(rank, this->settings.max_rank_steps));
    const auto later = steps == 0
                           ? common::duration{0}
                           : this->settings.first_wait + this->settings.rank_step * (steps - 1);
    const auto reader_wait = is_reader ? common::duration{0} : this->settings.non_reader_wait;
    return now - this->current_at >= this->settings.period + later + reader_wait;
}

} // namespace reedramp::routing
