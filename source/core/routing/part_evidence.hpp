#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "common/units.hpp"
#include "routing/prompt_parts.hpp"
#include "routing/request_fingerprint.hpp"

namespace reedramp::routing {

/// A request that was lost with its server.
struct lost_prompt {
    request_fingerprint request;
    /// Its shared parts, without those that have been served since.
    part_set parts;
    /// Whether this entry lost it, not another one.
    bool is_own = false;
};

/// Why servers crashed, as far as it is known: barred parts, or a barred request.
struct crash_explanation {
    /// The barred parts, or the shared parts of the barred request.
    part_set parts;
    std::optional<request_fingerprint> request;
};

/// The requests lost in one crash.
struct crash_evidence {
    common::time_point at;
    std::vector<lost_prompt> prompts;
    std::optional<crash_explanation> explanation;
};

/// What is known of the requests to the service.
struct service_traffic {
    /// Share of the requests that have all of the parts.
    std::function<auto(const part_set& parts)->double> share_of;
    /// The same, but rather too low than too high.
    std::function<auto(const part_set& parts)->double> min_share_of;
    /// Number of requests that were sent later and answered completely.
    std::function<auto(common::time_point later_than)->std::size_t> served_since;
};

struct part_evidence_options {
    /// Crashes that a set of parts must be involved in before it is blamed.
    std::size_t min_crashes = 4;
    /// Evidence needed, as the logarithm of a likelihood ratio: if crashes do not depend on what
    /// servers run, a given set of parts is blamed with a chance of at most one in 10,000.
    double min_evidence = 9.2;
    /// Evidence needed from crashes that no barred parts explain. Parts that came together with
    /// barred ones have all the crashes of those in common.
    double min_unexplained_evidence = 6.0;
    /// Evidence that requests without the parts can contribute by being served.
    double max_served_evidence = 4.6;
    /// Least chance that a crash involves given parts if it does not depend on them. A request that
    /// was lost with one server is soon at another, so that even a rare part is at some server.
    double min_chance = 1.0 / 16.0;
    /// Crashes that one request can contribute. With more it is barred itself, and refusing its
    /// parts would affect others.
    std::size_t max_crashes_per_request = 3;
};

/// Parts that are blamed for crashes, and the evidence against them.
struct blamed_parts {
    part_set parts;
    std::size_t crashes = 0;
    double evidence = 0.0;
    bool is_own = false;
    /// Time of the first of these crashes.
    common::time_point since = common::never;
};

/// Finds the parts of prompts that crash the servers which run them: the set with the strongest
/// evidence if there is enough, and no other set explains its crashes as well.
///
/// A part that crashes servers is involved in each of their crashes, and so are the parts that all
/// requests share; each crash therefore counts for as much as the parts are unlikely to be there by
/// chance, which follows from their share of all requests. Each request that is served without them
/// counts for as much as that is unlikely. Parts that came together in each lost request can't be
/// told apart and are blamed together, so that only requests that have all of them are affected.
/// `crashes` are those of one service, oldest first.
auto find_blamed_parts(
    const std::vector<crash_evidence>& crashes,
    const service_traffic& traffic,
    const part_evidence_options& options) -> std::optional<blamed_parts>;

} // namespace reedramp::routing
