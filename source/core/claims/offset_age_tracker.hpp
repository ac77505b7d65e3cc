#pragma once

#include <deque>

#include "common/ids.hpp"
#include "common/units.hpp"

namespace reedramp::claims {

/// Maps a minimum age to log offsets, by the local clock: tells up to which offset the records were
/// read at least that long ago. A record is always read after it was appended, so it is never
/// reported older than it is. Not thread-safe.
class offset_age_tracker {
public:
    /// `longest` is the largest age that can be queried; the resolution is `longest` / 64.
    explicit offset_age_tracker(common::duration longest) : span(longest) {}

    /// Clears the samples. Records up to `newest` count as read at `now`.
    auto reset(common::log_offset newest, common::time_point now) -> void;

    /// Registers that the record at `offset` was read at `now`.
    auto on_record(common::log_offset offset, common::time_point now) -> void;

    /// First offset that was read less than `age` ago, at least 1.
    [[nodiscard]] auto first_younger_than(common::duration age, common::time_point now) const
        -> common::log_offset;

private:
    /// All offsets up to `offset` were read at or before `at`.
    struct sample {
        common::time_point at;
        common::log_offset offset;
    };

    common::duration span;
    std::deque<sample> samples;
    sample newest;
};

} // namespace reedramp::claims
