#pragma once

#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "policy/quality.hpp"

/// The assumed workloads of two users. The `..._truth` values are hidden from the policy, which
/// sees only prices, targets and ratings and has to estimate the rest.
namespace reedramp::bench {

struct version_truth {
    common::version_id id;
    /// Expected cost of one request in micro-money.
    double cost = 0.0;
    double seconds = 1.0;
    /// Mean true score by task, in the order of `user_profile::tasks`.
    std::vector<double> quality;
};

struct task_truth {
    common::task_name name;
    double target = 0.0;
    /// Share of all requests.
    double share = 0.0;
    bool may_cascade = true;
};

struct user_profile {
    std::string name;
    std::vector<task_truth> tasks;
    /// Cheapest first.
    std::vector<version_truth> versions;
    double requests_per_second = 1.0;
    /// Share of answers sent for rating at random, and share of those whose rating arrives.
    double rated_share = 0.3;
    double returned_share = 0.8;
    double rating_delay_s = 60.0;
    /// Number of entries that share the traffic, and the period of gossip between them in seconds.
    int entries = 3;
    double gossip_period_s = 2.0;
};

/// Standard deviation of single scores around a version's mean.
inline constexpr double score_spread = 0.18;

inline auto steinhauser() -> user_profile
{
    return {
        "steinhauser",
        {{common::task_name("amendment"), 0.84, 0.2, false},
         {common::task_name("survey_summary"), 0.76, 0.3, true},
         {common::task_name("rack_query"), 0.65, 0.5, true}},
        {{common::version_id("small-3"), 100, 0.6, {0.52, 0.66, 0.70}},
         {common::version_id("medium-2"), 420, 1.1, {0.74, 0.80, 0.79}},
         {common::version_id("large-5"), 1600, 2.4, {0.89, 0.88, 0.86}}},
        4.0,
        0.3,
        0.8,
        60.0,
        3,
        2.0};
}

inline auto abay() -> user_profile
{
    return {
        "abay",
        {{common::task_name("quote_pack"), 0.80, 0.25, true},
         {common::task_name("scope_letter"), 0.74, 0.25, true},
         {common::task_name("roof_tag"), 0.60, 0.5, true}},
        {{common::version_id("small-3"), 80, 0.4, {0.58, 0.63, 0.72}},
         {common::version_id("medium-2"), 350, 0.9, {0.76, 0.78, 0.80}},
         {common::version_id("large-5"), 1300, 1.9, {0.88, 0.86, 0.87}}},
        2.0,
        0.3,
        0.8,
        45.0,
        3,
        2.0};
}

} // namespace reedramp::bench
