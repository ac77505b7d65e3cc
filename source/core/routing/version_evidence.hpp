#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "common/ids.hpp"
#include "policy/quality.hpp"
#include "policy/regression_detector.hpp"
#include "routing/configuration.hpp"

namespace reedramp::routing {

/// The side of a roll-out that an answer came from.
enum class version_side : std::uint8_t { old, new_one };

/// How much of its slots a server used while it answered.
enum class occupancy : std::uint8_t {
    usual,
    /// At least `high_occupancy_part`: what each server of a service meets when callers are many.
    high,
};

/// Part of a server's slots from which its occupancy is high.
inline constexpr double high_occupancy_part = 0.5;

/// The timed part of an answer. Each part has its own baseline time per route.
enum class timed_part : std::uint8_t {
    /// The mean pause between a stream's events, if it had any.
    event_pause,
    /// A whole stream too short to show its speed, measured from the send.
    whole_answer,
    /// A plain answer, measured from the send.
    plain_answer,
};

inline constexpr std::size_t timed_part_count = 3;

/// Whether a time is exact: `seen` if the part ended, `at_least` if the answer was abandoned before
/// that and would have taken longer.
enum class time_bound : std::uint8_t { seen, at_least };

/// Load of a server while it answered, over all entries.
struct answer_load {
    /// Prompt tokens that it had to read: while the stream ran, or before its first event, its own
    /// prompt included. See `load_effect`.
    double reading = 0.0;
    double requests = 0.0;
    /// The server is filled on purpose, so that its load says nothing about its version.
    bool is_load_test = false;
};

/// One observed time.
struct timed_answer {
    timed_part part = timed_part::whole_answer;
    double took_ms = 0.0;
    time_bound bound = time_bound::seen;
    answer_load load{};
};

/// Scale for slowness, in multiples of the baseline time.
struct slowness_scale {
    /// Up to this multiple of the old version's time an answer is not slow: servers of one service
    /// differ by a third.
    double not_slow_factor = 1.5;
    /// From this multiple on an answer counts as fully slow. In between it counts in part, so that
    /// a version three times as slow shows after some ten answers, whereas a threshold at three
    /// would need twenty or more.
    double fully_slow_factor = 3.0;
};

struct evidence_options {
    policy::regression_detector_options guard{
        .rating_slack = 0.02,
        .error_slack = 0.02,
        .slow_slack = 0.10,
        .latency_slack = 0.06,
        // There are no ratings here. Latency shows most cases of slowness; a late first event says
        // less, since prompts differ by factors of ten.
        .weights = {0.0, 0.35, 0.15, 0.5},
        .growth_slack = 0.05,
        .false_alarm = 0.005,
        .min_baseline_count = 10.0};
    /// A first event is slow if it takes this multiple of the old version's mean.
    double slow_factor = 3.0;
    slowness_scale streams{1.5, 3.0};
    /// Plain answers have no pauses, and their times vary by half: many answers of a good version
    /// take 1.5 times the baseline. Few take twice as long, so less slack is needed.
    slowness_scale plain{2.0, 3.0};
    double plain_latency_slack = 0.03;
};

/// One process's evidence for one route, sent to its peers.
struct evidence_report {
    policy::wealth bets;
    /// The old version's means by signal, and the logarithms of its baseline times in ms.
    std::array<policy::sample_mean, policy::signal_count> old_means{};
    std::array<policy::sample_mean, timed_part_count> baseline_times{};
    /// Bets on failures at servers with high occupancy, and the old version's rate of them there.
    policy::wealth high_occupancy_bets{};
    policy::sample_mean high_occupancy_old_failures{};

    auto operator==(const evidence_report&) const -> bool = default;
};

/// One process's evidence over all routes, sent to its peers.
struct evidence_total {
    policy::wealth bets;
    policy::wealth high_occupancy_bets;

    auto operator==(const evidence_total&) const -> bool = default;
};

/// Number of routes whose evidence is sent at a time, without a bound.
inline constexpr std::size_t all_routes = std::numeric_limits<std::size_t>::max();

/// Decides whether a new version is worse than the old one, per route and overall, from the
/// evidence of all entries.
///
/// Failures at servers with high occupancy are counted with all others, and once more by
/// themselves: a version that fails only under load answers most requests well, and its failures
/// would be outweighed by the answers that servers gave without load.
///
/// Entries add up their bets. They also pool what they know of the old version: one of many entries
/// has ten answers of a route's old version only after several seconds, and can't bet before.
///
/// A service may have hundreds of routes, more than a message between entries holds. Each entry
/// sends the sum over all of its routes, and some routes at a time; what was sent of the others
/// stays valid. Routes with too few answers of the old version are compared together: each of many
/// routes has a handful of requests in a roll-out's time, and alone would never be judged.
class version_evidence {
public:
    explicit version_evidence(evidence_options options) : settings(options) {}

    auto add_outcome(
        const route_name& route,
        version_side side,
        bool is_good,
        occupancy server = occupancy::usual) -> void;

    /// Adds a stream's first event, which took `took` or, if `is_stalled`, did not arrive in time.
    auto add_first_event(
        const route_name& route,
        version_side side,
        std::chrono::duration<double, std::milli> took,
        bool is_stalled = false) -> void;

    /// `log_ms` is the logarithm of the time in ms, with the effect of load removed.
    auto add_time(
        const route_name& route,
        version_side side,
        timed_part part,
        double log_ms,
        time_bound bound = time_bound::seen) -> void;

    /// Applies a peer's report on some of its routes, and the sum over all of them. Without a sum,
    /// as from earlier releases, the routes are all that it has, and replace its earlier report.
    auto apply_report(
        const common::host_id& peer,
        std::map<route_name, evidence_report> reports,
        std::optional<evidence_total> total = std::nullopt) -> void;

    /// Reports on `max_count` routes at most: those with the strongest evidence against the new
    /// version, and those that follow on `turn` by name.
    [[nodiscard]] auto
    make_report(std::size_t max_count = all_routes, const route_name& turn = {}) const
        -> std::map<route_name, evidence_report>;

    /// The turn that follows on `turn`, so that each route is reported in time.
    [[nodiscard]] auto next_turn(std::size_t max_count, const route_name& turn) const -> route_name;

    [[nodiscard]] auto total() const -> evidence_total;

    /// Logarithms of the evidence (wealth of the bets) against the new version.
    struct sums {
        /// For all routes together. Falls below zero as answers arrive that are no worse.
        double overall = 0.0;
        /// The maximum over the single routes and all of them together, and over all answers and
        /// those at servers with high occupancy: the new version may be bad on one route only, or
        /// only under load.
        double strongest = 0.0;
        /// The same without those at high occupancy alone.
        double strongest_of_all = 0.0;
        /// From failures at servers with high occupancy, over all routes.
        double high_occupancy = 0.0;
        /// The signal that contributes most to `strongest`, its route (none if that is the sum of
        /// all routes), and the answers that it comes from.
        policy::signal strongest_signal = policy::signal::error;
        std::optional<route_name> strongest_route;
        occupancy strongest_at = occupancy::usual;
    };

    [[nodiscard]] auto log_against() const -> sums;

    [[nodiscard]] auto is_worse() const -> bool;

private:
    struct route_evidence {
        policy::regression_evidence bets;
        policy::regression_evidence high_occupancy_bets;
        std::array<policy::exponential_mean, timed_part_count> baseline_times;
        /// Mean time to the old version's first event, in ms; 0 before the first one.
        double old_first_event_ms = 0.0;
        /// Peers have reported on the route since its baselines were pooled.
        bool is_pooling_due = false;
    };

    struct peer_route {
        evidence_report report;
        /// Number of the report that it came with.
        std::uint64_t reported = 0;
        /// Whether it has evidence against the new version.
        bool has_won = false;
    };

    struct peer_evidence {
        evidence_total total;
        std::map<route_name, peer_route> routes;
        std::uint64_t reports = 0;
    };

    using routes_by_evidence = std::vector<const std::pair<const route_name, route_evidence>*>;

    auto at(const route_name& route) -> route_evidence&;
    auto add(const route_name& route, policy::signal what, version_side side, double value) -> void;
    /// Where an answer of the new version on a route counts: at the route, or with all routes of
    /// which the old version has too few answers.
    auto judged_at(route_evidence& route, policy::signal what) -> route_evidence&;
    /// The old version's mean over the routes that have too few of its answers each.
    [[nodiscard]] auto baseline_of_rare_routes(policy::signal what) const -> policy::sample_mean;
    /// Counts answers that waited for their route's baseline with those of the other rare routes,
    /// once these have one together.
    auto judge_pending(policy::signal what) -> void;
    auto pool(const route_name& route) -> void;
    /// Pools the route's baselines if answers wait for one.
    auto judge_waiting(const route_name& route) -> void;
    /// Forgets the peer's routes that were reported longest ago, beyond the bound on memory.
    auto forget_surplus(peer_evidence& of) const -> void;
    [[nodiscard]] auto routes_in_turn(std::size_t max_count, const route_name& turn) const
        -> routes_by_evidence;
    [[nodiscard]] auto strongest_routes(std::size_t max_count) const -> routes_by_evidence;
    /// Sets the old version's rate of failures at high occupancy: that of all its answers, which
    /// are many more, unless it is known to fail more often there.
    auto pool_high_occupancy(const route_name& route) -> void;
    /// Calls `visit` with each peer's report on the route.
    auto for_each_report(const route_name& route, const auto& visit) const -> void;
    /// The mean of this process and its peers, of which `mean_of` returns the one in a report.
    [[nodiscard]] auto
    pooled(const route_name& route, policy::sample_mean own, const auto& mean_of) const
        -> policy::sample_mean;
    /// Routes on which some entry has evidence against the new version.
    [[nodiscard]] auto suspected_routes() const -> std::set<route_name>;
    /// The sum of all entries' bets on a route, as far as peers have reported on it.
    [[nodiscard]] auto sum_of(const route_name& route) const -> evidence_total;
    [[nodiscard]] auto sum_up() const -> sums;
    [[nodiscard]] auto baseline_time(const route_name& route, timed_part part) const
        -> policy::sample_mean;
    /// Slowness from 0 to 1 on the part's `slowness_scale`.
    [[nodiscard]] auto slowness(timed_part part, double log_ratio) const -> double;

    evidence_options settings;
    std::map<route_name, route_evidence> routes;
    std::map<common::host_id, peer_evidence> peers;
    /// Result of `log_against` until the next change: it is needed for each request.
    mutable std::optional<sums> cached_sums;
};

} // namespace reedramp::routing
