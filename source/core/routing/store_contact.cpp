#include "routing/store_contact.hpp"

#include <algorithm>

namespace reedramp::routing {

namespace {

/// Longer gaps count as an outage. The list is read once per second, so this is two missed
/// readings. A registration outlasts it: servers register every 1.2 s, and lapse after three times
/// that.
constexpr std::chrono::milliseconds longest_gap{2200};

} // namespace

auto store_contact::extend(time_point since, time_point at) -> void
{
    if (this->answers && at - this->answers->last > longest_gap) {
        this->has_seen_outage = true;
        this->answers.reset();
    }
    if (!this->answers) {
        this->answers = answer_run{since, at};
        return;
    }
    this->answers->since = std::min(this->answers->since, since);
    this->answers->last = std::max(this->answers->last, at);
}

auto store_contact::note_answer(time_point now) -> void
{
    this->extend(now, now);
}

auto store_contact::note_failure(time_point asked_at) -> void
{
    // An answer to another entry after this one's query shows that the store is available.
    if (this->answers && this->answers->last > asked_at) {
        return;
    }
    this->has_seen_outage = true;
    this->answers.reset();
}

auto store_contact::note_return(time_point now) -> void
{
    this->has_seen_outage = true;
    this->answers = answer_run{now, now};
}

auto store_contact::apply_report(
    time_point since, time_point answered_at, time_point now, bool is_new) -> void
{
    // An old answer says nothing about the time after it.
    if (now - answered_at > longest_gap) {
        return;
    }
    const bool is_later = is_new || !this->answers;
    const auto at = is_later ? answered_at : std::min(answered_at, this->answers->last);
    this->extend(std::min(since, at), at);
}

auto store_contact::steady_since(time_point now) const -> time_point
{
    return this->answers ? this->answers->since : now;
}

auto store_contact::outage_ended(time_point now) const -> time_point
{
    return this->has_seen_outage ? this->steady_since(now) : time_point::min();
}

} // namespace reedramp::routing
