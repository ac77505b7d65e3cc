#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "common/units.hpp"
#include "routing/store_contact.hpp"

namespace reedramp::routing {

using common::time_point;

/// How far an entry knows the servers' list, as it tells its peers.
struct freshness_report {
    /// Position in the list's stream behind its last change.
    std::uint64_t changed = 0;
    /// How long ago the store was read, by any entry, without a later change.
    std::chrono::milliseconds age{0};
    /// How long the store had answered by then, without a gap.
    std::chrono::milliseconds steady{0};
    /// Which reading that was: who read, and the how-manieth time. An age alone grows less than
    /// time does when entries pass it on to each other and each message takes its time. The reader
    /// is 0 in words of earlier releases.
    std::uint64_t reader = 0;
    std::uint64_t number = 0;
};

struct freshness_options {
    /// The list is read again when no entry is known to have read it for so long. Half of the time
    /// in which a server that leaves still takes work, less a slow reading.
    common::duration period = std::chrono::seconds{1};
    /// Who is not the first waits for this longer, so that one reads and the others hear of it:
    /// until the first one looks again (100 ms), has read, and tells (100 ms).
    common::duration lead = std::chrono::milliseconds{250};
    /// And by this more for each further entry that goes before.
    common::duration rank_step = std::chrono::milliseconds{50};
    /// Ranks that wait longer than those before them; the rest would wait too long if they failed.
    std::size_t most_steps = 4;
    /// Who is none of its data centre's readers waits for this longer than the last of those: what
    /// they read is handed on within some 20 ms, and repaired by the next words of a peer, 100 ms
    /// later. Nobody's news within 1.6 s still leaves half of the time in which a server that
    /// leaves takes work.
    common::duration others_wait = std::chrono::milliseconds{200};
    /// A change that an entry has heard of, and not got from its neighbours, is read from the store
    /// after this. Zero where neighbours hand nothing on.
    common::duration hand_on_time{0};
    /// The most by which an answer of the store may be older than its arrival. A process that stood
    /// still finds an answer of seconds ago, and would tell all others that nothing has changed.
    common::duration longest_answer = std::chrono::milliseconds{500};
    /// Names this process among all readers; random. 0: its readings are told by their age alone.
    std::uint64_t reader = 0;
};

/// When this entry should read the servers' list itself.
///
/// One reading tells whether the list has changed; the others only have to know that, and when, so
/// that calls to the store do not grow with the entries. An entry that hears of nobody's reading,
/// because it is cut off or those before it have died, reads as before, so that a server that
/// leaves is known 1.7 s later at the latest.
class list_freshness {
public:
    explicit list_freshness(freshness_options options) : settings(options) {}

    /// This entry has read up to `end`; `has_changed` if that changed the list. `asked_at` is when
    /// the store was asked; just now if it is left out.
    auto note_read(
        std::uint64_t end,
        bool has_changed,
        time_point now,
        std::optional<time_point> asked_at = std::nullopt) -> void;

    /// A neighbour has handed the list on up to `end`.
    auto note_told(std::uint64_t end) -> void;

    /// The store has just come back from an older copy of itself, as after an outage.
    auto note_new_era(time_point now) -> void;

    /// This entry's own reading, sent at `asked_at`, has failed.
    auto note_failure(time_point asked_at) -> void { this->contact.note_failure(asked_at); }

    /// True if that reading was not known yet.
    auto hear(const freshness_report& told, time_point now) -> bool;

    /// End of the store's last outage that this process has seen; see `store_contact`.
    [[nodiscard]] auto outage_ended(time_point now) const -> time_point
    {
        return this->contact.outage_ended(now);
    }

    [[nodiscard]] auto tell(time_point now) const -> freshness_report;

    /// Where this entry's own reading stands; 0 before the first.
    [[nodiscard]] auto read_to() const -> std::uint64_t { return this->position; }

    /// When this entry itself read the list last.
    [[nodiscard]] auto own_reading_at() const -> time_point { return this->own_read_at; }

    /// Whether to read now, when `rank` living entries go before this one. `is_reader` if it is one
    /// of those that read for their data centre.
    [[nodiscard]] auto is_due(std::size_t rank, time_point now, bool is_reader = true) const
        -> bool;

    /// Another entry knows of a change that this one's list lacks.
    [[nodiscard]] auto lacks_change() const -> bool { return this->changed > this->position; }

    /// When the list that it holds was last known to be the newest, and by whose reading.
    [[nodiscard]] auto known_current_at() const -> time_point { return this->current_at; }

private:
    /// Whether this entry has not heard of that reading yet; from then on it has.
    auto is_news(const freshness_report& told) -> bool;

    freshness_options settings;
    bool has_read = false;
    time_point own_read_at{};
    /// Where this entry's own reading stands.
    std::uint64_t position = 0;
    /// The newest change that it knows of, read or told.
    std::uint64_t changed = 0;
    /// When this entry began to lack it.
    time_point lacking_since{};
    /// When the list that it holds was last known to be the newest.
    time_point current_at{};
    /// The reading that shows it.
    std::uint64_t current_reader = 0;
    std::uint64_t current_number = 0;
    /// This entry's own readings so far, and the newest that it knows of each other reader.
    std::uint64_t own_readings = 0;
    std::unordered_map<std::uint64_t, std::uint64_t> newest_of;
    store_contact contact;
};

} // namespace reedramp::routing
