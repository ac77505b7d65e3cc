#include "claims/offset_age_tracker.hpp"

namespace reedramp::claims {

using common::log_offset;
using common::time_point;

namespace {

constexpr int samples_per_span = 64;

} // namespace

auto offset_age_tracker::reset(log_offset newest_read, time_point now) -> void
{
    this->samples.clear();
    this->newest = {now, newest_read};
}

auto offset_age_tracker::on_record(log_offset offset, time_point now) -> void
{
    const auto next = this->samples.empty()
                          ? time_point::min()
                          : this->samples.back().at + this->span / samples_per_span;
    if (now >= next) {
        this->samples.push_back({now, offset});
    }
    // Samples before the newest one that is at least `span` old are no longer needed.
    while (this->samples.size() > 1 && this->samples[1].at + this->span <= now) {
        this->samples.pop_front();
    }
    this->newest = {now, offset};
}

auto offset_age_tracker::first_younger_than(common::duration age, time_point now) const
    -> log_offset
{
    auto last_older = log_offset{};
    if (this->newest.at + age <= now) {
        return log_offset{this->newest.offset.value() + 1};
    }
    for (const auto& item : this->samples) {
        if (item.at + age > now) {
            break;
        }
        last_older = item.offset;
    }
    return log_offset{last_older.value() + 1};
}

} // namespace reedramp::claims
