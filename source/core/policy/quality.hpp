#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/ids.hpp"
#include "common/sharded_map.hpp"

namespace reedramp::policy {

/// What a request may be served by: one version, or a first one and, if its answer does not look
/// good enough, a second one. Each option has estimates of its own: a second version only sees what
/// the first one failed on, so that its ratings there say nothing about all requests.
struct option_key {
    common::version_id first;
    std::optional<common::version_id> second;

    auto operator<=>(const option_key&) const = default;
};

auto to_string(const option_key& key) -> std::string;

struct quality_options {
    /// Ratings after which an older one has lost most of its weight.
    double memory = 3000.0;
    /// Ratings that the quick estimate remembers; it notices drift.
    double quick_memory = 80.0;
    /// Standard errors between the two estimates that count as drift.
    double drift_errors = 4.0;
    /// Standard errors from the mean to each bound.
    double bound_errors = 1.6;
    /// Weight of the operator's prior, in ratings.
    double prior_weight = 4.0;
    /// Smallest variance assumed, so that a few equal scores do not look certain.
    double least_variance = 0.01;
};

struct quality_estimate {
    double mean = 0.5;
    double lower = 0.0;
    double upper = 1.0;
    /// Ratings behind it, by their weight now.
    double weight = 0.0;
};

/// Exponentially forgetting mean and variance.
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

/// Estimates of the mean rating of each option in each task, from ratings that come late or never.
/// The requests to be rated are drawn at random by the entry, whatever was answered; a share that
/// depended on the answer would bias the mean. Safe for several threads.
class quality_tracker {
public:
    explicit quality_tracker(quality_options options);

    /// Sets the operator's expectation; used until ratings outweigh it.
    auto set_prior(const option_key& option, const common::task_name& task, double mean) -> void;

    /// Takes a rating. Returns true if it shows a drift, upon which older ratings are forgotten.
    auto add(const option_key& option, const common::task_name& task, double score) -> bool;

    [[nodiscard]] auto estimate(const option_key& option, const common::task_name& task)
        -> quality_estimate;

private:
    struct record {
        std::optional<double> prior;
        exponential_mean slow;
        exponential_mean quick;
    };

    [[nodiscard]] auto drifted(const record& seen) const -> bool;

    quality_options options;
    common::sharded_map<std::string, record> records;
};

} // namespace reedramp::policy
