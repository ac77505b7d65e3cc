#pragma once

#include <deque>

#include "common/ids.hpp"
#include "common/units.hpp"

namespace reedramp::claims {

/// Tells, by a process's own clock, up to which offset the records were read at least some time
/// ago. Every process reads a record after it was appended, so that this never makes a record look
/// older than it is.
class offset_age_tracker {
public:
    /// Keeps samples for as long as `longest` needs; one of them covers `longest` / 64.
    explicit offset_age_tracker(common::duration longest) : span(longest) {}

    /// Forgets all; records up to `newest` count as read now.
    auto reset(common::log_offset newest, common::time_point now) -> void;

    /// Call it when a record is taken.
    auto on_record(common::log_offset taken, common::time_point now) -> void;

    /// The first offset that was not read `age` ago or earlier, at least 1.
    [[nodiscard]] auto first_younger_than(common::duration age, common::time_point now) const
        -> common::log_offset;

private:
    /// All offsets up to `offset` were read at `at` or before.
    struct sample {
        common::time_point at;
        common::log_offset offset;
    };

    common::duration span;
    std::deque<sample> samples;
    sample newest;
};

} // namespace reedramp::claims
