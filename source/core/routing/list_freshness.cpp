#include "routing/list_freshness.hpp"

#include <algorithm>

namespace reedramp::routing {

auto list_freshness::note_read(std::uint64_t end, bool has_changed, time_point now) -> void
{
    this->position = end;
    if (has_changed || !this->has_read) {
        this->changed = std::max(this->changed, end);
    }
    this->has_read = true;
    this->current_at = now;
    this->current_end = std::max(this->current_end, end);
    this->newest_end = std::max(this->newest_end, end);
    this->contact.note_answer(now);
}

auto list_freshness::hear(const told_freshness& told, time_point now) -> void
{
    const auto read_at = now - std::max(told.age, std::chrono::milliseconds{0});
    // An entry of an earlier release does not say where its reading ended.
    const bool is_named = told.end > 0;
    const bool is_news = !is_named || told.end > this->newest_end;
    this->contact.hear(read_at - told.steady, read_at, now, is_news);
    this->newest_end = std::max(this->newest_end, told.end);
    this->changed = std::max(this->changed, told.changed);
    const bool is_later = !is_named || told.end > this->current_end;
    if (this->has_read && told.changed <= this->position && is_later) {
        this->current_at = std::max(this->current_at, read_at);
        this->current_end = std::max(this->current_end, told.end);
    }
}

auto list_freshness::tell(time_point now) const -> told_freshness
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
        this->current_end};
}

auto list_freshness::is_due(std::size_t rank, time_point now) const -> bool
{
    if (!this->has_read || this->changed > this->position) {
        return true;
    }
    const auto steps = static_cast<int>(std::min(rank, this->settings.most_steps));
    return now - this->current_at >= this->settings.period + this->settings.rank_step * steps;
}

} // namespace reedramp::routing
