#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.hpp"
#include "common/sharded_map.hpp"

namespace reedramp::policy {

/// Identifies an option: a single version, or a cascade of a first version and a second one that is
/// used if the first answer does not look good enough. Each option has its own estimates: the
/// second version of a cascade only gets requests that the first one failed on, so its ratings
/// there do not represent all requests.
struct option_key {
    common::version_id first;
    std::optional<common::version_id> second;

    auto operator<=>(const option_key&) const = default;
};

auto to_string(const option_key& key) -> std::string;

struct quality_options {
    /// Number of ratings over which the long-term estimate forgets older ones.
    double memory = 3000.0;
    /// The same of the short-term estimate, which detects drift.
    double short_memory = 80.0;
    /// Difference between the two estimates, in standard errors, that counts as drift.
    double drift_standard_errors = 4.0;
    /// Distance of each bound from the mean, in standard errors.
    double bound_standard_errors = 1.6;
    /// Weight of the prior, in ratings.
    double prior_weight = 4.0;
    /// Minimum variance, so that a few equal scores do not appear to be certain.
    double min_variance = 0.01;
};

struct quality_estimate {
    double mean = 0.5;
    double lower = 0.0;
    double upper = 1.0;
    /// Total current weight of the ratings.
    double weight = 0.0;
};

/// Exponentially weighted mean and variance.
class exponential_mean {
public:
    auto add(double value, double memory) -> void;

    [[nodiscard]] auto mean() const -> double { return this->centre; }

    [[nodiscard]] auto variance() const -> double { return this->spread; }

    [[nodiscard]] auto weight() const -> double { return this->total; }

private:
    double total = 0.0;
    double centre = 0.0;
    double spread = 0.0;
};

/// Estimates the mean rating of each option in each task. Ratings may arrive late or not at all.
/// The entry samples the requests to be rated independently of their answers; otherwise the mean
/// would be biased. Thread-safe.
class quality_tracker {
public:
    explicit quality_tracker(quality_options options);

    /// Sets the mean rating that the operator expects, which is used until ratings outweigh it.
    auto set_prior(const option_key& option, const common::task_name& task, double mean) -> void;

    /// Adds a rating. Returns true if it reveals a drift; older ratings are then discarded.
    auto add(const option_key& option, const common::task_name& task, double score) -> bool;

    [[nodiscard]] auto estimate(const option_key& option, const common::task_name& task)
        -> quality_estimate;

private:
    struct record {
        std::optional<double> prior;
        exponential_mean long_term;
        exponential_mean short_term;
    };

    [[nodiscard]] auto has_drifted(const record& ratings) const -> bool;

    quality_options options;
    common::sharded_map<std::string, record> records;
};

} // namespace reedramp::policy
