#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "answer_check.hpp"
#include "common/units.hpp"
#include "metrics/registry.hpp"
#include "settings.hpp"

namespace reedramp::load {

/// Outcome of one request.
struct request_outcome {
    std::string kind;
    std::string organisation;
    answer_verdict verdict;
    /// Id assigned by the entry; empty if there was no answer.
    std::string request_id;
    /// Duration from the scheduled send time to the end of the last attempt.
    common::duration total{};
    /// Duration from the scheduled send time to the first token of a stream; zero if there was
    /// none.
    common::duration first_token{};
    common::wall_time_ms started;
    std::uint32_t tries = 1;
    /// Body of a service call that may run at most once; empty for other requests.
    std::string at_most_once_body;
};

/// Result of one check of the run.
struct check_result {
    std::string name;
    bool holds = false;
    std::string detail;
};

/// Result of comparing the bills in the log with the answers.
struct bill_comparison {
    std::uint64_t answered = 0;
    std::uint64_t bills = 0;
    std::uint64_t missing = 0;
    std::uint64_t wrong_tokens = 0;
    std::uint64_t cost_micro = 0;
    /// Requests that are billed although the caller received no complete answer.
    std::uint64_t without_answer = 0;
};

/// Number of runs by request body, summed over all plain services.
using run_counts = std::unordered_map<std::string, std::uint64_t>;

/// Collects the outcomes of a run, and produces its checks and report. Not thread-safe.
class report {
public:
    explicit report(const load_settings& run_settings) : settings(run_settings) {}

    auto add(const request_outcome& outcome) -> void;

    /// Counts an attempt that was followed by a retry.
    auto count_retry(const std::string& reason) -> void { ++this->retries[reason]; }

    /// Compares the outcomes with the run counters of the plain services: no at-most-once body may
    /// have run twice or after a `not_run`, and every answered one must have run.
    auto add_service_runs(const run_counts& runs) -> void;
    auto add_bills(const bill_comparison& comparison) -> void;

    /// Completion tokens of each answered request by its id; zero for a service call.
    [[nodiscard]] auto answered_ids() const -> const std::unordered_map<std::string, std::uint64_t>&
    {
        return this->answered;
    }

    [[nodiscard]] auto total() const -> std::uint64_t { return this->requests; }

    [[nodiscard]] auto checks() const -> std::vector<check_result>;
    [[nodiscard]] auto all_checks_hold() const -> bool;
    [[nodiscard]] auto to_json() const -> std::string;
    [[nodiscard]] auto to_table() const -> std::string;

private:
    struct kind_summary {
        std::map<std::string, std::uint64_t> results;
        std::unique_ptr<metrics::histogram> total_us;
        std::unique_ptr<metrics::histogram> first_us;
    };

    struct version_summary {
        std::uint64_t answers = 0;
        std::uint64_t bad = 0;
        common::wall_time_ms first_started;
        common::wall_time_ms last_started;
    };

    auto summary_for(const std::string& kind) -> kind_summary&;
    auto add_version(const request_outcome& outcome) -> void;
    auto add_at_most_once_body(const request_outcome& outcome) -> void;
    [[nodiscard]] auto count_state(answer_state state) const -> std::uint64_t;
    auto add_bill_checks(std::vector<check_result>& result) const -> void;

    load_settings settings;
    std::uint64_t requests = 0;
    std::map<std::string, kind_summary> kinds;
    std::map<std::string, version_summary> versions;
    std::map<std::string, std::uint64_t> results;
    std::map<std::string, std::uint64_t> retries;
    std::map<answer_state, std::uint64_t> states;
    std::unordered_map<std::string, std::uint64_t> answered;
    /// Bodies of requests whose first attempt ended with `not_run`.
    std::unordered_set<std::string> not_run_bodies;
    std::unordered_set<std::string> at_most_once_bodies;
    std::unordered_set<std::string> answered_bodies;
    std::optional<bill_comparison> bills;
    bool has_run_counts = false;
    std::uint64_t repeated_runs = 0;
    std::uint64_t false_not_run = 0;
    std::uint64_t answered_without_run = 0;
};

} // namespace reedramp::load
