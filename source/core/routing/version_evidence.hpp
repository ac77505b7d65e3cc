#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "common/ids.hpp"
#include "policy/quality.hpp"
#include "policy/regression_detector.hpp"
#include "routing/configuration.hpp"

namespace reedramp::routing {

/// Which side of a roll-out an answer came from.
enum class version_side : std::uint8_t { old, new_one };

/// What is timed of an answer. Each has its own usual time, by route.
enum class timed_part : std::uint8_t {
    /// The mean pause between a stream's events, once it has had some.
    event_pause,
    /// A whole stream that was too short to show its pace, from its sending.
    whole_answer,
    /// A plain answer, from its sending.
    plain_answer,
};

inline constexpr std::size_t timed_part_count = 3;

/// Whether a time counts: `seen` for one that has passed, `at_least` where the answer was given up
/// before its end, so that it would have taken longer.
enum class time_bound : std::uint8_t { seen, at_least };

/// One observed time.
struct timed_answer {
    timed_part part = timed_part::whole_answer;
    double took_ms = 0.0;
    time_bound bound = time_bound::seen;
    /// Tokens of prompts that waited at the server meanwhile; see `load_effect`.
    double reading = 0.0;
};

/// What times the usual time count as slow.
struct slowness_scale {
    /// An answer that takes up to this many times the old version's usual time is no slower than
    /// others: servers of one service differ by a third.
    double usual_times = 1.5;
    /// From this many times on it is as slow as can be. Between them it counts in part, so that a
    /// version three times as slow shows after some ten answers, where a threshold at three would
    /// need twenty or more.
    double several_times = 3.0;
};

struct evidence_options {
    policy::regression_detector_options guard{
        .rating_slack = 0.02,
        .error_slack = 0.02,
        .slow_slack = 0.10,
        .latency_slack = 0.06,
        // Nothing here is rated. Pace shows most of what is slow; a late first event says less,
        // since prompts differ by tens.
        .weights = {0.0, 0.35, 0.15, 0.5},
        .growth_slack = 0.05,
        .false_alarm = 0.005,
        .min_baseline_count = 10.0};
    /// A first event is slow when it takes this many times the old version's mean.
    double slow_factor = 3.0;
    slowness_scale streams{1.5, 3.0};
    /// Plain answers have no pace to go by, and their own times differ by half: many of a good
    /// version take 1.5 times the usual one. From twice on few do, so that less slack is needed.
    slowness_scale plain{2.0, 3.0};
    double plain_pace_slack = 0.03;
};

/// What one process has seen of one route, for its peers.
struct evidence_report {
    policy::wealth bets;
    /// The old version's means by signal, and the logarithms of its usual times in ms.
    std::array<policy::sample_mean, policy::signal_count> old_means{};
    std::array<policy::sample_mean, timed_part_count> usual_times{};

    auto operator==(const evidence_report&) const -> bool = default;
};

/// Whether a new version is worse than the old one, by route and over all, from what all entries
/// have seen.
///
/// Entries add up their bets. They also pool what they know of the old version: one of many entries
/// sees a route's old version ten times only after several seconds, and bets on nothing before.
class version_evidence {
public:
    explicit version_evidence(evidence_options options) : settings(options) {}

    auto add_outcome(const route_name& route, version_side side, bool is_good) -> void;

    /// A stream's first event came after `took`, or, if `is_stalled`, not in good time.
    auto add_first_event(
        const route_name& route,
        version_side side,
        std::chrono::milliseconds took,
        bool is_stalled = false) -> void;

    /// `log_ms` is the time's logarithm, with the effect of load taken out.
    auto add_time(
        const route_name& route,
        version_side side,
        timed_part part,
        double log_ms,
        time_bound bound = time_bound::seen) -> void;

    /// A peer's words replace its older ones.
    auto hear(const common::host_id& peer, std::map<route_name, evidence_report> words) -> void;

    [[nodiscard]] auto tell() const -> std::map<route_name, evidence_report>;

    /// Logarithms of the wealth against the new version.
    struct sums {
        /// Of all routes together. Falls below zero as answers come that are no worse.
        double overall = 0.0;
        /// The strongest, of one route or of all: one route may be the only one on which it is bad.
        double strongest = 0.0;
    };

    [[nodiscard]] auto log_against() const -> sums;

    [[nodiscard]] auto is_worse() const -> bool;

private:
    struct route_evidence {
        policy::regression_evidence bets;
        std::array<policy::exponential_mean, timed_part_count> usual_times;
        /// Mean time to the old version's first event, in ms; 0 before the first.
        double old_first_event_ms = 0.0;
    };

    auto at(const route_name& route) -> route_evidence&;
    auto add(route_evidence& to, policy::signal what, version_side side, double value) -> void;
    auto pool(const route_name& route) -> void;
    [[nodiscard]] auto sum_up() const -> sums;
    [[nodiscard]] auto usual_time(const route_name& route, timed_part part) const
        -> policy::sample_mean;
    /// 0 up to the usual time, 1 from several times on.
    [[nodiscard]] auto slowness(timed_part part, double log_ratio) const -> double;

    evidence_options settings;
    std::map<route_name, route_evidence> routes;
    std::map<common::host_id, std::map<route_name, evidence_report>> peers;
    /// `log_against` since the last change: each request asks for it.
    mutable std::optional<sums> known_against;
};

} // namespace reedramp::routing
