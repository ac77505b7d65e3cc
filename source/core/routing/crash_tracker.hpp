#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "common/units.hpp"
#include "routing/barred_parts.hpp"
#include "routing/part_evidence.hpp"
#include "routing/prompt_parts.hpp"
#include "routing/recent_prompts.hpp"
#include "routing/request_fingerprint.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

using common::time_point;

struct crash_options {
    /// Server crashes that a request must be involved in before it is barred. Two may be a
    /// coincidence: a request that is resent after a crash goes to the same servers as others, and
    /// servers that fail together fail one after the other.
    std::size_t min_crashes = 3;
    /// `min_crashes` rises by one for each crash in the meantime that involves no suspect, up to
    /// this number. While servers crash for another reason, some requests are present each time.
    /// Limited so that a request that crashes servers is found at such times too.
    std::size_t max_extra_crashes = 3;
    /// Losses at one server within this time share one cause: the server's end.
    std::chrono::milliseconds correlation_window{300};
    /// Of the crashes within this time, at most two count for a request, unless it was sent to the
    /// next server after the previous one had crashed. Several copies of a harmless request may be
    /// at different servers when a rack fails, and some of them are served elsewhere at once.
    std::chrono::milliseconds burst_window{50};
    /// Delay until a crash is evaluated, so that the reports of all entries have arrived: the other
    /// requests in flight at that server decide the result.
    std::chrono::milliseconds settle_time{300};
    /// A barred request is refused until it has not been seen for this time. Longer than a caller
    /// or its job queue keeps retrying, and than a repair of the servers takes.
    std::chrono::milliseconds barred_for{std::chrono::minutes{10}};
    /// Limit for each of the collections below; the oldest entries are evicted first. More than the
    /// number of servers that fail at once, and a bound on the memory that callers can make an
    /// entry use.
    std::size_t max_kept = 1024;
    /// Crashes, the newest ones, from which the parts of prompts are judged. Several dozen suffice
    /// for parts in a fifth of all requests; the time that an evaluation takes grows with them.
    std::size_t max_judged = 48;
    /// Lost requests of one crash whose parts are kept.
    std::size_t max_prompts = 64;
    part_evidence_options parts;
};

/// The shared parts of a request's prompt, and what runs it.
struct prompt_traits {
    /// Hash of the service.
    std::uint64_t service = 0;
    /// Hash of service, version and model. Whether a part is harmless is known for each separately.
    std::uint64_t engine = 0;
    part_set parts;
};

/// A request that was lost together with its server, as sent between entries.
struct loss_report {
    /// 0: no request; the server refuses connections.
    request_fingerprint fingerprint;
    /// `hash_of` the server instance.
    std::uint64_t server = 0;
    std::chrono::milliseconds age{0};
    /// Time since the request was sent to that server.
    std::chrono::milliseconds sent_age{0};
    /// Without parts if they can't be the cause.
    prompt_traits prompt = {};
};

/// A suspected request that was served, and how long ago.
struct served_report {
    request_fingerprint fingerprint;
    std::chrono::milliseconds age{0};
};

/// A suspected part that was served by an engine, and how long ago that request was sent.
struct served_part_report {
    part_id part;
    std::uint64_t engine = 0;
    std::chrono::milliseconds sent_age{0};
};

/// A barred request, or barred parts, as sent between entries.
struct barred_report {
    request_fingerprint fingerprint;
    /// Time since the request was barred, and since it was last received.
    std::chrono::milliseconds age{0};
    std::chrono::milliseconds unseen{0};
    /// Whether the store holds this record.
    bool is_recorded = false;
    /// Without parts if the request itself is barred.
    barred_parts what = {};
    /// Time since the first crash for which it is barred.
    std::chrono::milliseconds suspected_age{0};
};

/// A newly barred request, or newly barred parts, and the evidence against it.
struct barred_request {
    request_fingerprint fingerprint;
    /// Crashes that involved the request, and crashes in the meantime without any suspect.
    std::size_t crashes = 0;
    std::size_t others = 0;
    /// Whether this entry lost the request itself.
    bool is_own = false;
    /// Without parts if the request itself is barred.
    barred_parts what = {};
    /// As `blamed_parts::evidence`; 0 for a request.
    double evidence = 0.0;
};

/// What is known of a barred request or of barred parts, for operators.
struct barred_state {
    barred_report report;
    /// Requests that this entry refused for it.
    std::uint64_t refused = 0;
};

/// Detects requests that crash the servers which execute them, so that they are no longer sent to
/// any server.
///
/// A server that crashes loses all requests that it was executing; each of them is a suspect. The
/// request that caused the crash is a suspect of every such crash, whichever others are, and is
/// never served. A request is therefore barred when it was involved in several crashes, and in more
/// of them than any other request involved in each; a request that has been served is no suspect.
/// Judged by a request's own losses alone, dozens of harmless requests would be barred: while
/// servers crash one after the other, the same requests are lost three or four times.
///
/// The cause may also be a part of the prompt that many requests share, no two of which are alike.
/// `find_blamed_parts` tells how that is found; requests with these parts are barred then.
///
/// One loss alone is no crash, since connections also break for other reasons. A crash needs a
/// second request lost at that server at the same time, or a server that no longer accepts
/// connections.
class crash_tracker {
public:
    explicit crash_tracker(crash_options options) : settings(options) {}

    /// Records the shared parts of a request that was received.
    auto note_received(const prompt_traits& prompt) -> void;

    /// Records that the connection to the server was lost during the request, which was sent at
    /// `sent`. `prompt` is without parts if they can't be the cause.
    auto note_lost(
        request_fingerprint fingerprint,
        const server_instance& server,
        time_point sent,
        time_point now,
        const prompt_traits& prompt = {}) -> void;

    /// Records that the server accepts no connections.
    auto note_down(const server_instance& server, time_point now) -> void;

    /// Records that the server accepts connections, so it has not crashed.
    auto note_alive(const server_instance& server) -> void;

    /// Returns and clears the servers at which this entry lost a request since the last call and
    /// that are neither known to have crashed nor to be alive. The caller has to probe them: if a
    /// server was executing nothing else, no other report about it arrives.
    auto take_unconfirmed() -> std::vector<server_instance>;

    /// Records that the server answered a request completely.
    auto note_served(request_fingerprint fingerprint, const server_instance& server, time_point now)
        -> void;

    /// Records that an engine answered a request that was sent at `sent` completely, and lives on.
    auto note_parts_served(const prompt_traits& prompt, time_point sent, time_point now) -> void;

    /// Whether the server is known to have crashed at `since` or later.
    [[nodiscard]] auto has_crashed(const server_instance& server, time_point since) const -> bool;

    /// Whether `note_served` needs to be called at all. Fingerprints are costly, and are not needed
    /// while there are no suspects.
    [[nodiscard]] auto has_suspects() const -> bool
    {
        return !this->crashes.empty() || !this->barred.empty();
    }

    /// Evaluates the evidence since the last call. Returns the newly barred requests.
    auto find_barred(time_point now) -> std::vector<barred_request>;

    [[nodiscard]] auto has_barred() const -> bool { return !this->barred.empty(); }

    [[nodiscard]] auto is_barred(request_fingerprint fingerprint) const -> bool
    {
        return this->barred.contains(fingerprint);
    }

    /// The barred parts that the prompt has, as their fingerprint.
    [[nodiscard]] auto find_barred_parts(const prompt_traits& prompt) const
        -> std::optional<request_fingerprint>;

    [[nodiscard]] auto has_barred_parts() const -> bool { return !this->barred_sets.empty(); }

    /// Records that a barred request was received again.
    auto note_refused(request_fingerprint fingerprint, time_point now) -> void;

    /// Lifts the bar by an operator's command, here and at all peers, and forgets the evidence.
    /// Returns whether there was one.
    auto lift(request_fingerprint fingerprint, time_point now) -> bool;

    /// Applies a barred request reported by another entry or by the store. Returns true if it was
    /// not known here.
    auto apply_barred(const barred_report& report, time_point now) -> bool;

    /// Returns a barred request that is not known to be in the store; usually there is none.
    [[nodiscard]] auto unrecorded(time_point now) const -> std::optional<barred_report>;
    auto note_recorded(request_fingerprint fingerprint) -> void;
    /// Marks all barred requests as not recorded, since the store may have lost them.
    auto forget_recorded() -> void;

    /// Returns and clears what this entry recorded since the last call, to be sent to all peers.
    auto take_losses(time_point now) -> std::vector<loss_report>;
    auto take_served(time_point now) -> std::vector<served_report>;

    auto take_served_parts(time_point now) -> std::vector<served_part_report>;

    auto apply_losses(const std::vector<loss_report>& losses, time_point now) -> void;
    auto apply_served(const std::vector<served_report>& reports, time_point now) -> void;
    auto apply_served_parts(const std::vector<served_part_report>& reports, time_point now) -> void;

    /// Returns at most `most` barred requests, the most recently refused first.
    [[nodiscard]] auto make_barred_reports(std::size_t most, time_point now) const
        -> std::vector<barred_report>;

    [[nodiscard]] auto barred_count() const -> std::size_t { return this->barred.size(); }

    /// All barred requests and parts.
    [[nodiscard]] auto states(time_point now) const -> std::vector<barred_state>;

private:
    struct lost_request {
        time_point at;
        time_point sent;
        /// Whether this entry lost it, not another one.
        bool is_own = false;
        prompt_traits prompt = {};
    };

    using suspect_map = std::map<request_fingerprint, lost_request>;

    /// A server that may have crashed.
    struct crash {
        time_point at;
        /// Requests that it was executing.
        suspect_map suspects;
        bool is_down = false;
        /// Suspects whose parts are kept.
        std::size_t prompts = 0;
    };

    struct barred_entry {
        time_point at;
        time_point last_seen;
        bool is_recorded = false;
        /// Time of the first crash for which it is barred.
        time_point suspected_since = {};
        std::uint64_t refused = 0;
    };

    /// A part at one kind of engine.
    struct engine_part {
        part_id part;
        std::uint64_t engine = 0;

        auto operator<=>(const engine_part&) const = default; // NOLINT(modernize-use-nullptr)
    };

    struct served_part {
        /// When the newest request with it that was served was sent.
        time_point sent;
        time_point reported_at;
    };

    struct unsent_loss {
        request_fingerprint fingerprint;
        std::uint64_t server = 0;
        lost_request how;
    };

    using crash_counts = std::unordered_map<request_fingerprint, std::size_t>;

    auto
    note(request_fingerprint fingerprint, std::uint64_t server, lost_request how, time_point now)
        -> void;
    /// Whether another suspect of the crash was involved in at least as many crashes as `than`.
    [[nodiscard]] static auto
    has_likelier(const crash& one, request_fingerprint than, const crash_counts& counts) -> bool;
    auto clear_suspect(request_fingerprint fingerprint, time_point at, time_point now) -> void;
    [[nodiscard]] auto is_crash(const crash& one) const -> bool;
    [[nodiscard]] auto is_explained(const crash& one) const -> bool;
    /// Crashes that no barred request explains, oldest first.
    [[nodiscard]] auto unexplained() const -> std::vector<const crash*>;
    [[nodiscard]] static auto count(const std::vector<const crash*>& all) -> crash_counts;
    [[nodiscard]] auto count_evidence(
        request_fingerprint fingerprint,
        const std::vector<const crash*>& all,
        const crash_counts& counts,
        time_point now) const -> barred_request;
    auto bar(request_fingerprint fingerprint, const barred_entry& how, const barred_parts& what)
        -> bool;
    /// Removes the bar and, for parts, the evidence against them.
    auto unbar(request_fingerprint fingerprint) -> void;
    [[nodiscard]] auto make_barred_report(
        request_fingerprint fingerprint, const barred_entry& since, time_point now) const
        -> barred_report;
    auto expire(time_point now) -> void;

    // Parts of prompts, in crash_tracker_parts.cpp.
    auto keep_prompt(crash& of, lost_request& lost) -> void;
    /// The parts of a lost request that were not served by the same kind of engine since.
    [[nodiscard]] auto suspected_parts_of(const lost_request& lost, time_point crashed_at) const
        -> part_set;
    [[nodiscard]] auto explanation_of(const crash& one) const -> std::optional<crash_explanation>;
    [[nodiscard]] auto traffic_of(std::uint64_t service) const -> service_traffic;
    [[nodiscard]] auto evidence_of(const crash& one) const -> crash_evidence;
    /// The newest settled crashes of each service, oldest first.
    [[nodiscard]] auto crashes_by_service(time_point now) const
        -> std::map<std::uint64_t, std::vector<const crash*>>;
    auto find_barred_parts_of(
        std::uint64_t service, const std::vector<const crash*>& all, time_point now)
        -> std::optional<barred_request>;
    auto bar_parts(time_point now) -> std::vector<barred_request>;
    auto note_part_served(engine_part which, time_point sent) -> served_part*;
    auto forget_evidence(const barred_parts& against) -> void;

    crash_options settings;
    /// By `hash_of` the server instance.
    std::unordered_map<std::uint64_t, crash> crashes;
    std::map<request_fingerprint, barred_entry> barred;
    /// Those of `barred` that are parts of prompts.
    std::map<request_fingerprint, barred_parts> barred_sets;
    /// The newest requests to each service, by its hash.
    std::map<std::uint64_t, recent_prompts> recent;
    /// The newest crash that involved each part.
    std::map<part_id, time_point> suspect_parts;
    std::map<engine_part, served_part> served_parts;
    /// When the newest requests with shared parts that this entry saw served were sent, by service.
    std::map<std::uint64_t, std::deque<time_point>> served_sends;
    /// When each suspect was last served.
    std::map<request_fingerprint, time_point> served;
    std::set<server_instance> unconfirmed;
    std::vector<unsent_loss> unsent_losses;
    std::vector<std::pair<request_fingerprint, time_point>> unsent_served;
    std::vector<engine_part> unsent_served_parts;
    /// Time of the newest evidence. Once it has settled and been evaluated, `find_barred` does
    /// nothing until more arrives; otherwise each call would process the losses of the last ten
    /// minutes.
    time_point new_evidence_at{};
    time_point evaluated_at{};
    time_point next_sweep_at{};
};

} // namespace reedramp::routing
