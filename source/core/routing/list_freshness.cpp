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
    // The store answers with all that it has. A change beyond that, told before the question, was
    // never there; believed, it would have this entry read again and again.
    if (this->changed > end && this->lacking_since < asked_at.value_or(now)) {
        this->changed = end;
    }
    this->has_read = true;
    this->own_read_at = now;
    this->current_at = std::max(asked_at.value_or(now), now - this->settings.longest_answer);
    this->own_readings += 1;
    this->current_reader = this->settings.reader;
    this->current_number = this->own_readings;
    this->contact.note_answer(now);
}

auto list_freshness::note_told(std::uint64_t end) -> void
{
    this->position = end;
    this->has_read = true;
}

auto list_freshness::note_new_era(time_point now) -> void
{
    this->contact.note_return(now);
    // Where the list ended before says nothing of where it ends now.
    this->changed = 0;
}

auto list_freshness::is_news(const freshness_report& told) -> bool
{
    if (told.reader == 0) {
        return true;
    }
    if (told.reader == this->settings.reader) {
        return false; // Its own reading, passed back.
    }
    // Each process is another reader; those that have ended are not worth keeping.
    constexpr std::size_t most_readers = 2048;
    if (this->newest_of.size() >= most_readers) {
        this->newest_of.clear();
    }
    auto& newest = this->newest_of[told.reader];
    const bool is_new = told.number > newest;
    newest = std::max(newest, told.number);
    return is_new;
}

auto list_freshness::hear(const freshness_report& told, time_point now) -> bool
{
    const auto era_of = [](std::uint64_t at) {
        return stream_position{at}.era();
    };
    if (this->has_read && era_of(told.changed) < era_of(this->position)) {
        return false; // The sender has not heard yet that the store came back from an older copy.
    }
    const auto read_at = now - std::max(told.age, std::chrono::milliseconds{0});
    const bool is_new = this->is_news(told);
    this->contact.hear(read_at - told.steady, read_at, now, is_new);
    if (told.changed > this->changed) {
        const bool lacked_none = !this->lacks_change();
        this->changed = told.changed;
        this->lacking_since = lacked_none ? now : this->lacking_since;
    }
    const bool shows_it = this->has_read && told.changed <= this->position;
    if (is_new && shows_it && read_at > this->current_at) {
        this->current_at = read_at;
        this->current_reader = told.reader;
        this->current_number = told.number;
    }
    return is_new;
}

auto list_freshness::tell(time_point now) const -> freshness_report
{
    // What this entry has only been told of is not passed on as known: its list lacks it.
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
    if (this->lacks_change() && now - this->lacking_since >= this->settings.hand_on_time) {
        return true;
    }
    const auto steps = static_cast<int>(std::min(rank, this->settings.most_steps));
    const auto later = steps == 0 ? common::duration{0}
                                  : this->settings.lead + this->settings.rank_step * (steps - 1);
    const auto others = is_reader ? common::duration{0} : this->settings.others_wait;
    return now - this->current_at >= this->settings.period + later + others;
}

} // namespace reedramp::routing
