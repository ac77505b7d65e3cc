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

/// How current an entry's copy of the server list is, as sent to peers.
struct freshness_report {
    /// Position in the list's stream after its last change.
    std::uint64_t changed = 0;
    /// Time since any entry last read the store without finding a later change.
    std::chrono::milliseconds age{0};
    /// For how long the store had been answering without a gap at that time.
    std::chrono::milliseconds steady{0};
    /// Identifies that reading: the reader, and the number of its reading. An age alone does not
    /// identify it: as entries forward it, it grows more slowly than time passes, because each
    /// message takes time. The reader is 0 in reports of earlier releases.
    std::uint64_t reader = 0;
    std::uint64_t number = 0;
};

struct freshness_options {
    /// The list is read again when no entry is known to have read it for this time. Half of the
    /// time during which a leaving server still accepts work, less one slow reading.
    common::duration period = std::chrono::seconds{1};
    /// Additional wait of every entry but the first, so that one entry reads and the others learn
    /// of it: enough for the first one to check again (100 ms), read, and report (100 ms).
    common::duration first_wait = std::chrono::milliseconds{250};
    /// Further wait for each further entry that ranks earlier.
    common::duration rank_step = std::chrono::milliseconds{50};
    /// Number of ranks with their own wait. Later ranks share the last one; otherwise they would
    /// wait too long if the earlier ones failed.
    std::size_t max_rank_steps = 4;
    /// Additional wait of an entry that is none of its data centre's readers, beyond the last of
    /// those. What readers read is forwarded within some 20 ms, and a lost update is repaired by a
    /// peer's next report 100 ms later. An entry that learns of no reading for 1.6 s still has half
    /// of the time left during which a leaving server accepts work.
    common::duration non_reader_wait = std::chrono::milliseconds{200};
    /// A reported change that neighbours have not forwarded within this time is read from the
    /// store. Zero if neighbours forward nothing.
    common::duration forward_wait{0};
    /// Maximum age assumed for an answer of the store on arrival. A process that was paused may
    /// find an answer that is seconds old, and would report to all others that nothing has changed.
    common::duration max_answer_age = std::chrono::milliseconds{500};
    /// Random id of this process as a reader. 0: its readings are identified by their age alone.
    std::uint64_t reader = 0;
};

/// Decides when this entry should read the server list itself.
///
/// One entry's reading shows whether the list has changed; the others only need to learn the result
/// and its time, so that calls to the store do not grow with the number of entries. An entry that
/// learns of no reading, because it is cut off or because those that rank earlier have failed,
/// reads by itself, so that a leaving server is known after 1.7 s at the latest.
class list_freshness {
public:
    explicit list_freshness(freshness_options options) : settings(options) {}

    /// Records that this entry read the list up to `end`; `has_changed` if the list changed.
    /// `asked_at` is when the store was queried; `now` if it is left out.
    auto note_read(
        std::uint64_t end,
        bool has_changed,
        time_point now,
        std::optional<time_point> asked_at = std::nullopt) -> void;

    /// Records that a neighbour forwarded the list up to `end`.
    auto note_handed_on(std::uint64_t end) -> void;

    /// Records that the store was just restored from an older copy, as after an outage.
    auto note_new_era(time_point now) -> void;

    /// Records that this entry's own query, sent at `asked_at`, has failed.
    auto note_failure(time_point asked_at) -> void { this->contact.note_failure(asked_at); }

    /// Applies a peer's report. Returns true if it shows a reading that was not known yet.
    auto apply_report(const freshness_report& report, time_point now) -> bool;

    /// End of the store's last outage observed by this process; see `store_contact`.
    [[nodiscard]] auto outage_ended(time_point now) const -> time_point
    {
        return this->contact.outage_ended(now);
    }

    [[nodiscard]] auto make_report(time_point now) const -> freshness_report;

    /// Position up to which this entry has the list; 0 before the first reading.
    [[nodiscard]] auto read_to() const -> std::uint64_t { return this->position; }

    /// When this entry last read the list itself.
    [[nodiscard]] auto own_reading_at() const -> time_point { return this->own_read_at; }

    /// Whether to read now. `rank` is the number of live entries that rank earlier; `is_reader`
    /// tells whether this entry is one of its data centre's readers.
    [[nodiscard]] auto is_due(std::size_t rank, time_point now, bool is_reader = true) const
        -> bool;

    /// Whether another entry reported a change that this entry's list lacks.
    [[nodiscard]] auto lacks_change() const -> bool { return this->changed > this->position; }

    /// When this entry's list was last known to be current, by any entry's reading.
    [[nodiscard]] auto known_current_at() const -> time_point { return this->current_at; }

private:
    /// Whether this entry did not know of that reading yet; marks it as known.
    auto is_new_reading(const freshness_report& report) -> bool;

    freshness_options settings;
    bool has_read = false;
    time_point own_read_at{};
    /// Position up to which this entry has the list; 0 before the first reading.
    std::uint64_t position = 0;
    /// Position of the newest change that it knows of, read or reported.
    std::uint64_t changed = 0;
    /// Since when its list lacks that change.
    time_point lacking_since{};
    /// When its list was last known to be current.
    time_point current_at{};
    /// The reading that showed this.
    std::uint64_t current_reader = 0;
    std::uint64_t current_number = 0;
    /// Number of this entry's own readings, and the newest known number of each other reader.
    std::uint64_t own_readings = 0;
    std::unordered_map<std::uint64_t, std::uint64_t> newest_of;
    store_contact contact;
};

} // namespace reedramp::routing
