#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "policy/quality.hpp"

/// Which version to use for a request, and whether a version is worse than another: estimates from
/// ratings, the choice by cost at the quality target, and the sequential tests of roll-outs.
namespace reedramp::policy {

/// What is observed of an answer, each as a number from 0 to 1.
enum class signal : std::uint8_t {
    /// The rating service's score; low is bad.
    rating,
    /// 1 if the run failed, else 0; high is bad.
    error,
    /// 1 if the answer was slower than the organisation's target, else 0; high is bad.
    slow,
    /// By how much the answer took longer than the old version's, 0 for no more than usual, 1 for
    /// several times as long; high is bad.
    latency,
};

inline constexpr std::size_t signal_count = 4;

/// Parallel bets, each staking this share of the largest possible stake. Small ones find small
/// differences late, large ones find large differences early; the mean of their wealth is within
/// log(4) of the best of them.
inline constexpr auto bet_fractions = std::to_array({0.06, 0.2, 0.45, 0.8});

/// How much worse the new version may be before that counts as worse, by signal, in units of the
/// signal; and the probability with which a version that is not worse may ever be called so.
struct regression_detector_options {
    double rating_slack = 0.02;
    double error_slack = 0.01;
    double slow_slack = 0.05;
    double latency_slack = 0.05;
    /// Shares of the stake by signal, in the order of `signal`. A signal that is never observed
    /// should have none: what is staked on it is lost to the others.
    std::array<double, signal_count> weights{0.6, 0.3, 0.1, 0.0};
    /// How much worse the new version would have to be for a larger share to be unwanted.
    double growth_slack = 0.05;
    double false_alarm = 0.01;
    /// Old observations needed before the first bet.
    double min_baseline_count = 20.0;
    /// Old observations that the reference remembers.
    double baseline_memory = 4000.0;
    /// Standard errors by which the reference is taken to be off, always against an alarm.
    double baseline_standard_errors = 1.5;
};

/// A mean and the number of observations behind it.
struct sample_mean {
    double value = 0.0;
    double count = 0.0;

    auto operator==(const sample_mean&) const -> bool = default;
};

/// The mean over both.
auto combined_mean(const sample_mean& one, const sample_mean& other) -> sample_mean;

/// Logarithms of the wealth of all bets: `signal_count` blocks that bet on "worse", then one that
/// bets on "not worse by growth_slack" by ratings. Vectors of several processes are added up.
using wealth = std::vector<double>;

inline constexpr std::size_t wealth_size = (signal_count + 1) * bet_fractions.size();

/// One process's evidence on a new version against the one that it replaces: a test by betting
/// (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by betting", 2023).
///
/// A bet stakes a fixed share of its wealth on the next observation of the new version being worse
/// than the old version's mean less the slack. If the new version is not worse, each wealth is a
/// non-negative supermartingale, so that it ever passes 1/a with a probability of at most a,
/// however often and whenever one looks (Ville's inequality). Shares do not depend on data, so that
/// wealths of processes that report at different times may be multiplied, and the test is still
/// valid.
///
/// The old version's mean is an estimate, taken at the end of its confidence interval that makes an
/// alarm harder; else an estimate that happens to be high would make a good version look bad.
class regression_evidence {
public:
    explicit regression_evidence(regression_detector_options options);

    auto add_baseline(signal what, double value) -> void;
    auto add_candidate(signal what, double value) -> void;

    /// Bets against the old version's mean over all processes, once `count` is more than this
    /// process has seen itself. With many processes each sees little of it: at 390 entries, a
    /// thousand ratings of the old version would otherwise take an hour.
    auto set_pooled_baseline(signal what, double mean, double count) -> void;

    /// How much worse the new version may be from now on, by this signal.
    auto set_slack(signal what, double slack) -> void;

    [[nodiscard]] auto log_wealth() const -> const wealth& { return this->logs; }

    /// What this process has seen itself of the old version, to be pooled.
    [[nodiscard]] auto baseline_mean(signal what) const -> sample_mean;

private:
    struct reference {
        exponential_mean values;
        sample_mean pooled;
        /// New observations that came before the reference was good enough to bet against.
        std::vector<double> waiting;
    };

    [[nodiscard]] static auto best_mean(const reference& known) -> sample_mean;
    [[nodiscard]] auto ready(const reference& known) const -> bool;
    [[nodiscard]] auto error_of(const reference& known) const -> double;
    auto bet_on_waiting(signal what) -> void;
    auto bet(signal what, double value) -> void;

    regression_detector_options options;
    std::array<reference, signal_count> references;
    wealth logs;
};

/// One process's evidence that a version in full use has become worse than `accepted_mean`, its
/// mean at the time when it was accepted.
class drift_evidence {
public:
    drift_evidence(regression_detector_options options, double accepted_mean);

    auto add_rating(double value) -> void;

    [[nodiscard]] auto log_wealth() const -> const wealth& { return this->logs; }

private:
    regression_detector_options options;
    double accepted_mean;
    wealth logs;
};

/// Adds up the wealth of several processes.
auto add_wealth(wealth& total, std::span<const double> part) -> void;

enum class verdict : std::uint8_t { undecided, not_worse, worse };

struct evaluation {
    verdict decision = verdict::undecided;
    /// Logarithms of the mixed wealth of both sides; the alarm comes at log(1 / false_alarm).
    double log_against = 0.0;
    double log_for = 0.0;
};

/// Judges summed wealth. `worse` has precedence. `not_worse` needs a wealth of 1/`doubt`, and that
/// no signal speaks against the version: failed runs get no rating, so that a version which often
/// fails may be rated well.
auto evaluate(const wealth& total, const regression_detector_options& options, double doubt)
    -> evaluation;

/// Finds a change in summed drift wealth: the largest rise since any earlier moment (CUSUM; Shin,
/// Ramdas and Rinaldo, "E-detectors", 2023). While nothing changes, the mean number of ratings
/// until a false alarm is at least `run_length`.
class drift_detector {
public:
    explicit drift_detector(double run_length);

    /// Returns whether the version has become worse. `total` must grow by whole reports.
    auto observe(const wealth& total) -> bool;

private:
    double threshold;
    wealth lowest;
};

} // namespace reedramp::policy
