#pragma once

#include <chrono>
#include <optional>

#include "common/units.hpp"

namespace reedramp::routing {

using common::time_point;

/// Since when the store has answered without a gap, as far as the entries know together.
///
/// An entry whose own readings fail can't tell by itself whether the store is away or its own way
/// there is cut. Registrations lapse only in the first case of servers that work on, and are given
/// time to come back; in the second, one that has ended means that its server left. Taken for an
/// outage, a cut of one entry made it send work for two more seconds to servers that had left long
/// before. What tells the cases apart is whether another entry was answered meanwhile.
class store_contact {
public:
    /// This entry's own reading was answered.
    auto note_answer(time_point now) -> void;

    /// This entry's own reading, sent at `asked_at`, was not answered. Nothing that was known from
    /// before says that the store is there.
    auto note_failure(time_point asked_at) -> void;

    /// The store has come back, after an outage that may have been too short for anybody to see.
    auto note_return(time_point now) -> void;

    /// Another entry was answered at `answered_at`, and knows of no gap since `since`. `is_news`
    /// unless that answer is known already; told again, it is no later one.
    auto hear(time_point since, time_point answered_at, time_point now, bool is_news) -> void;

    /// Start of the time over which the store has answered up to its last known answer; `now` when
    /// nothing is known.
    [[nodiscard]] auto steady_since(time_point now) const -> time_point;

    /// The same, where this process has seen an outage; else the earliest time, as nothing that it
    /// has read can have lapsed in one.
    [[nodiscard]] auto outage_ended(time_point now) const -> time_point;

private:
    struct run {
        time_point since;
        time_point last;
    };

    auto extend(time_point since, time_point at) -> void;

    std::optional<run> answers;
    bool has_seen_outage = false;
};

} // namespace reedramp::routing
