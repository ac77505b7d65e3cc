#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/units.hpp"
#include "routing/request_fingerprint.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

using common::time_point;

struct crash_options {
    /// Servers that must have ended under a request. Two may be bad luck: a second send after a
    /// crash goes where others go, and servers that fail together fail one after the other.
    std::size_t least_crashes = 3;
    /// As many more are asked for as end under no suspect meanwhile, up to this: while servers end
    /// for another reason, some requests are there each time. A limit, since a request that ends
    /// servers must be found then, too.
    std::size_t most_more_crashes = 3;
    /// Losses at a server this close together have one cause, its end.
    std::chrono::milliseconds together{300};
    /// Of crashes this close together two count for a request at the most, unless it was sent to
    /// the next server after the one before had ended: many copies of a harmless one are at several
    /// servers when a rack fails, and some of them are served elsewhere at once.
    std::chrono::milliseconds one_moment{50};
    /// From a crash until it counts, so that all entries' words about it are there: who else was
    /// running at that server decides.
    std::chrono::milliseconds settles_after{300};
    /// A request that ended servers is refused until it has not come for so long. Longer than a
    /// caller or its job queue goes on trying, and than servers take to be mended.
    std::chrono::milliseconds remembered{std::chrono::minutes{10}};
    /// Of each kind of thing that is kept; the oldest go first. More servers than fail at once, and
    /// a bound on what callers can make an entry hold.
    std::size_t most_kept = 1024;
};

/// A request that was lost with its server, as entries tell each other.
struct loss_report {
    /// 0: nobody's request; connections to the server are refused.
    request_fingerprint print;
    /// `hash_of` the server's start.
    std::uint64_t server = 0;
    std::chrono::milliseconds age{0};
    /// Since it was sent to that server.
    std::chrono::milliseconds sent_age{0};
};

/// A suspect that was served, and how long ago.
struct served_report {
    request_fingerprint print;
    std::chrono::milliseconds age{0};
};

/// A request that is barred.
struct barred_report {
    request_fingerprint print;
    /// Since it was barred, and since it came last.
    std::chrono::milliseconds age{0};
    std::chrono::milliseconds unseen{0};
    /// The store has it.
    bool is_recorded = false;
};

/// A request that is barred from now on, and why.
struct barred_request {
    request_fingerprint print;
    /// Servers that ended under it, and that ended meanwhile under no suspect.
    std::size_t crashes = 0;
    std::size_t others = 0;
    /// This entry has lost it itself.
    bool is_own = false;
};

/// Finds requests that end the servers which run them, so that they are sent to none.
///
/// A server that ends takes all with it that it was running; each of these is a suspect. The
/// request that ended it is a suspect of each such crash, whoever else was there, and is never
/// served. So a request is barred when it was there at several crashes, and at each of them more
/// often than anybody else who was; what has been served once is no suspect. Judged by a request's
/// own losses alone, harmless ones would be barred by the dozen: while servers end one after the
/// other, the same ones lose three and four.
///
/// A loss alone is no crash, since connections break too: another request was lost at that server
/// in the same moment, or nobody listens there any more.
class crash_tracker {
public:
    explicit crash_tracker(crash_options options) : settings(options) {}

    /// The connection to the server ended in the midst of the request, which was sent at `sent`.
    auto note_lost(
        request_fingerprint print, const server_instance& server, time_point sent, time_point now)
        -> void;

    /// No connection to the server could be opened.
    auto note_down(const server_instance& server, time_point now) -> void;

    /// Somebody listens at the server: it has not ended.
    auto note_alive(const server_instance& server) -> void;

    /// Servers at which this entry has lost something since the last call, and of which it is not
    /// known whether they have ended. Where a server ran nothing else, nobody else says so.
    auto take_doubtful() -> std::vector<server_instance>;

    /// The server has answered a request to the end.
    auto note_served(request_fingerprint print, const server_instance& server, time_point now)
        -> void;

    /// Whether `note_served` has anything to learn: prints cost time, and calm days need none.
    [[nodiscard]] auto has_suspects() const -> bool
    {
        return !this->crashes.empty() || !this->barred.empty();
    }

    /// Weighs what has come since the last time. Gives the requests that are barred from now on.
    auto judge(time_point now) -> std::vector<barred_request>;

    [[nodiscard]] auto has_barred() const -> bool { return !this->barred.empty(); }

    [[nodiscard]] auto is_barred(request_fingerprint print) const -> bool
    {
        return this->barred.contains(print);
    }

    /// A barred request has come again.
    auto note_refused(request_fingerprint print, time_point now) -> void;

    /// Another entry, or the store, knows that the request ends servers. True if that is new.
    auto hear_barred(const barred_report& told, time_point now) -> bool;

    /// A barred request that the store is not known to have; none as a rule.
    [[nodiscard]] auto unrecorded(time_point now) const -> std::optional<barred_report>;
    auto note_recorded(request_fingerprint print) -> void;
    /// The store may have lost them all.
    auto forget_recorded() -> void;

    /// What this entry has noted since the last call, for all peers.
    auto take_losses(time_point now) -> std::vector<loss_report>;
    auto take_served(time_point now) -> std::vector<served_report>;

    auto hear_losses(const std::vector<loss_report>& losses, time_point now) -> void;
    auto hear_served(const std::vector<served_report>& told, time_point now) -> void;

    /// Requests barred here, the last refused first, `most` at most.
    [[nodiscard]] auto tell_barred(std::size_t most, time_point now) const
        -> std::vector<barred_report>;

    [[nodiscard]] auto barred_count() const -> std::size_t { return this->barred.size(); }

private:
    struct lost_request {
        time_point at;
        time_point sent;
        /// Here, and not at another entry.
        bool is_own = false;
    };

    using suspect_map = std::map<request_fingerprint, lost_request>;

    /// A server that may have ended.
    struct crash {
        time_point at;
        /// What it was running.
        suspect_map suspects;
        bool is_down = false;
    };

    struct barred_since {
        time_point at;
        time_point last_seen;
        bool is_recorded = false;
    };

    struct untold_loss {
        request_fingerprint print;
        std::uint64_t server = 0;
        lost_request how;
    };

    using crash_counts = std::unordered_map<request_fingerprint, std::size_t>;

    auto note(request_fingerprint print, std::uint64_t server, lost_request how, time_point now)
        -> void;
    /// Whether another suspect of the crash was in as many crashes as `than`, or more.
    [[nodiscard]] static auto
    has_likelier(const crash& one, request_fingerprint than, const crash_counts& counts) -> bool;
    auto absolve(request_fingerprint print, time_point at, time_point now) -> void;
    [[nodiscard]] auto is_crash(const crash& one) const -> bool;
    [[nodiscard]] auto is_explained(const crash& one) const -> bool;
    /// Crashes that no barred request explains, the oldest first.
    [[nodiscard]] auto unexplained() const -> std::vector<const crash*>;
    [[nodiscard]] static auto count(const std::vector<const crash*>& all) -> crash_counts;
    [[nodiscard]] auto weigh(
        request_fingerprint print,
        const std::vector<const crash*>& all,
        const crash_counts& counts,
        time_point now) const -> barred_request;
    auto bar(request_fingerprint print, const barred_since& how) -> bool;
    auto forget(time_point now) -> void;

    crash_options settings;
    /// By `hash_of` the server's start.
    std::unordered_map<std::uint64_t, crash> crashes;
    std::map<request_fingerprint, barred_since> barred;
    /// When suspects were served.
    std::map<request_fingerprint, time_point> served;
    std::set<server_instance> doubtful;
    std::vector<untold_loss> untold_losses;
    std::vector<std::pair<request_fingerprint, time_point>> untold_served;
    /// What came until `evidence_at` has been weighed once it was settled: else each call would
    /// weigh the losses of the last ten minutes.
    time_point evidence_at{};
    time_point judged_at{};
    time_point forgets_at{};
};

} // namespace reedramp::routing
