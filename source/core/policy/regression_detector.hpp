#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "policy/quality.hpp"

/// Version selection and regression detection: quality estimates from ratings, the choice of an
/// option by cost at a quality target, and the sequential tests of roll-outs.
namespace reedramp::policy {

/// A property observed of an answer, as a number from 0 to 1.
enum class signal : std::uint8_t {
    /// The rating service's score; low is bad.
    rating,
    /// 1 if the run failed, else 0; high is bad.
    error,
    /// 1 if the answer was slower than the organisation's target, else 0; high is bad.
    slow,
    /// How much longer the answer took than the old version's answers: 0 for the usual time or
    /// less,
    /// 1 for several times as long; high is bad.
    latency,
};

inline constexpr std::size_t signal_count = 4;

auto to_string(signal what) -> std::string_view;

/// The stakes of the parallel bets, as fractions of the largest possible stake. Small stakes detect
/// small differences late, large stakes detect large differences early; the logarithm of their mean
/// wealth is within log(4) of the best of them.
inline constexpr auto bet_fractions = std::to_array({0.06, 0.2, 0.45, 0.8});

/// Settings of the sequential test of a new version. The slack of a signal is how much worse the
/// new version may be, in units of the signal, without counting as worse.
struct regression_detector_options {
    double rating_slack = 0.02;
    double error_slack = 0.01;
    double slow_slack = 0.05;
    double latency_slack = 0.05;
    /// Shares of the initial wealth by signal, in the order of `signal`. A signal that is never
    /// observed should have 0, because its share is not available to the others.
    std::array<double, signal_count> weights{0.6, 0.3, 0.1, 0.0};
    /// How much worse in ratings the new version may be for its share to grow.
    double growth_slack = 0.05;
    /// The probability that a version which is not worse is ever reported as worse.
    double false_alarm = 0.01;
    /// Number of observations of the old version needed before the first bet.
    double min_baseline_count = 20.0;
    /// Number of observations over which the baseline forgets older ones.
    double baseline_memory = 4000.0;
    /// Assumed error of the baseline in standard errors, always in the direction that makes an
    /// alarm less likely.
    double baseline_standard_errors = 1.5;
};

/// A mean and its number of observations.
struct sample_mean {
    double value = 0.0;
    double count = 0.0;

    auto operator==(const sample_mean&) const -> bool = default;
};

/// The mean of the observations of both.
auto combined_mean(const sample_mean& one, const sample_mean& other) -> sample_mean;

/// The logarithms of the wealth of all bets: one block for each signal betting on "worse", then one
/// betting on "not worse by `growth_slack`" by ratings. Vectors of several processes are summed.
using wealth = std::vector<double>;

inline constexpr std::size_t wealth_size = (signal_count + 1) * bet_fractions.size();

/// The part of `all`, which has `wealth_size` elements, that bets on one signal.
template <typename Log>
auto bets_on(std::span<Log> all, signal what) -> std::span<Log>
{
    constexpr auto count = bet_fractions.size();
    return all.subspan(static_cast<std::size_t>(what) * count, count);
}

/// One process's evidence that a new version is worse than the version it replaces: a sequential
/// test by betting (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by
/// betting", 2023).
///
/// Each bet stakes a fixed fraction of its wealth on the next observation of the new version being
/// worse than the old version's mean by more than the slack. If the new version is not worse, the
/// wealth is a non-negative supermartingale, so the probability that it ever exceeds 1/a is at most
/// a, however often it is checked (Ville's inequality). The fractions do not depend on the data, so
/// the wealth of processes that report at different times may be multiplied without invalidating
/// the test.
///
/// The old version's mean (the baseline) is an estimate. The test uses the end of its confidence
/// interval that makes an alarm less likely; otherwise an estimate that happens to be too high
/// would make a good version look worse.
class regression_evidence {
public:
    explicit regression_evidence(regression_detector_options options);

    auto add_baseline(signal what, double value) -> void;
    auto add_candidate(signal what, double value) -> void;

    /// Sets the old version's mean over all processes. It becomes the baseline if `count` exceeds
    /// the number of this process's own observations. With many processes each one observes little:
    /// with 390 entries, collecting a thousand ratings of the old version would take an hour.
    auto set_pooled_baseline(signal what, double mean, double count) -> void;

    /// Changes the slack of a signal.
    auto set_slack(signal what, double slack) -> void;

    [[nodiscard]] auto log_wealth() const -> const wealth& { return this->logs; }

    /// The old version's mean as observed by this process alone, to be pooled.
    [[nodiscard]] auto baseline_mean(signal what) const -> sample_mean;

    /// The old version's mean as used for bets: over all processes, if those know more.
    [[nodiscard]] auto known_baseline(signal what) const -> sample_mean;

    /// Whether the old version is known well enough to bet.
    [[nodiscard]] auto has_baseline(signal what) const -> bool;

    [[nodiscard]] auto has_pending(signal what) const -> bool;

    /// Removes and returns the observations of the new version that wait for a baseline.
    auto take_pending(signal what) -> std::vector<double>;

private:
    struct baseline {
        exponential_mean values;
        sample_mean pooled;
        /// Observations of the new version that arrived before the baseline had enough
        /// observations.
        std::vector<double> pending;
    };

    [[nodiscard]] static auto baseline_estimate(const baseline& known) -> sample_mean;
    [[nodiscard]] auto baseline_error(signal what) const -> double;
    auto bet_on_pending(signal what) -> void;
    auto bet(signal what, double value) -> void;

    regression_detector_options options;
    std::array<baseline, signal_count> baselines;
    wealth logs;
};

/// One process's evidence that a fully rolled-out version has become worse than `accepted_mean`,
/// its mean rating when it was accepted.
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

/// Adds one process's log wealth to the sum. A vector of another size is ignored.
auto add_wealth(wealth& total, std::span<const double> part) -> void;

enum class verdict : std::uint8_t { undecided, not_worse, worse };

struct evaluation {
    verdict decision = verdict::undecided;
    /// Logarithms of the mixed wealth of both sides; the alarm is raised at log(1 / false_alarm).
    double log_against = 0.0;
    double log_for = 0.0;
};

/// Evaluates the summed wealth. `worse` takes precedence. `not_worse` needs a wealth of
/// 1/`error_probability`, and no signal against the version: failed runs are not rated, so a
/// version that often fails may still have good ratings.
auto evaluate(
    const wealth& total, const regression_detector_options& options, double error_probability)
    -> evaluation;

/// Returns the log wealth against the version of one signal's bets, as if no other signal had a
/// share of the initial wealth.
auto log_against(const wealth& total, signal what) -> double;

/// Returns the signal with the most wealth against the version.
auto strongest_signal(const wealth& total, const regression_detector_options& options) -> signal;

/// Detects a change in the summed drift wealth by its largest increase since any earlier time
/// (CUSUM; Shin, Ramdas and Rinaldo, "E-detectors", 2023). Without a change, the mean number of
/// ratings until a false alarm is at least `run_length`.
class drift_detector {
public:
    explicit drift_detector(double run_length);

    /// Returns whether the version has become worse. Between calls, `total` may only change by
    /// whole reports.
    auto observe(const wealth& total) -> bool;

private:
    double threshold;
    wealth minima;
};

} // namespace reedramp::policy
