#pragma once

#include <chrono>
#include <optional>

#include "common/units.hpp"

namespace reedramp::routing {

using common::time_point;

/// Tracks since when the store has answered without a gap, as far as the entries together know.
///
/// An entry whose own queries fail can't tell whether the store is down or its own connection is
/// cut. Only in the first case do registrations of running servers lapse, and these servers are
/// given time to register again; in the second, a registration that has ended means that the server
/// left. Treated as an outage, a cut connection made an entry send requests for two more seconds to
/// servers that had left long before. The cases differ in whether the store answered another entry
/// in the meantime.
class store_contact {
public:
    /// Records that this entry's own query was answered.
    auto note_answer(time_point now) -> void;

    /// Records that this entry's own query, sent at `asked_at`, was not answered. Earlier answers
    /// no longer show that the store is available.
    auto note_failure(time_point asked_at) -> void;

    /// Records that the store is back after an outage that may have been too short to be observed.
    auto note_return(time_point now) -> void;

    /// Records that another entry was answered at `answered_at`, and knows of no gap since `since`.
    /// `is_new` is false if that answer is already known: reported again, it is not a later one.
    auto apply_report(time_point since, time_point answered_at, time_point now, bool is_new)
        -> void;

    /// Start of the period over which the store has answered, up to its last known answer; `now` if
    /// nothing is known.
    [[nodiscard]] auto steady_since(time_point now) const -> time_point;

    /// As `steady_since` if this process has observed an outage; otherwise the earliest time, since
    /// no registration that it has read can have lapsed during one.
    [[nodiscard]] auto outage_ended(time_point now) const -> time_point;

private:
    struct answer_run {
        time_point since;
        time_point last;
    };

    auto extend(time_point since, time_point at) -> void;

    std::optional<answer_run> answers;
    bool has_seen_outage = false;
};

} // namespace reedramp::routing
