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

/// What became of one request.
struct request_outcome {
    std::string kind;
    std::string organisation;
    answer_verdict verdict;
    /// As the entry named it; empty if there was no answer.
    std::string request_id;
    /// From the time at which it should have been sent, over all tries.
    common::duration total{};
    /// Until the first token of a stream; zero if there was none.
    common::duration first_token{};
    common::wall_time_ms started;
    std::uint32_t tries = 1;
    /// Body of a service call that may run at most once.
    std::string once_body;
};

/// A condition that the run has to meet.
struct check_result {
    std::string name;
    bool holds = false;
    std::string detail;
};

/// How the log's bills compare with the answers.
struct bill_comparison {
    std::uint64_t answered = 0;
    std::uint64_t bills = 0;
    std::uint64_t missing = 0;
    std::uint64_t wrong_tokens = 0;
    std::uint64_t cost_micro = 0;
    /// Request ids that are billed although the caller got no answer: broken and lost ones.
    std::uint64_t without_answer = 0;
};

/// Bodies that the plain services ran, over all of them.
using run_counts = std::unordered_map<std::string, std::uint64_t>;

/// Sums up a run. One thread only.
class report {
public:
    explicit report(const load_settings& given) : settings(given) {}

    auto add(const request_outcome& outcome) -> void;

    /// A try that ended without an answer and was followed by another.
    auto count_retry(const std::string& why) -> void { ++this->retries[why]; }

    /// Compares with the counters of the plain services: no body twice, none of a `not_run`.
    auto add_service_runs(const run_counts& runs) -> void;
    auto add_bills(const bill_comparison& compared) -> void;

    /// Completion tokens of each answered chat by its request id; zero for a service call.
    [[nodiscard]] auto answered_ids() const -> const std::unordered_map<std::string, std::uint64_t>&
    {
        return this->answered;
    }

    [[nodiscard]] auto total() const -> std::uint64_t { return this->requests; }

    [[nodiscard]] auto checks() const -> std::vector<check_result>;
    [[nodiscard]] auto holds() const -> bool;
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

    auto summary_of(const std::string& kind) -> kind_summary&;
    auto add_version(const request_outcome& outcome) -> void;
    auto add_once(const request_outcome& outcome) -> void;
    [[nodiscard]] auto count_state(answer_state state) const -> std::uint64_t;
    auto add_bill_checks(std::vector<check_result>& made) const -> void;

    load_settings settings;
    std::uint64_t requests = 0;
    std::map<std::string, kind_summary> kinds;
    std::map<std::string, version_summary> versions;
    std::map<std::string, std::uint64_t> results;
    std::map<std::string, std::uint64_t> retries;
    std::map<answer_state, std::uint64_t> states;
    std::unordered_map<std::string, std::uint64_t> answered;
    /// Bodies of refusals that said `not_run` at the first try.
    std::unordered_set<std::string> not_run_bodies;
    std::unordered_set<std::string> once_bodies;
    std::unordered_set<std::string> answered_bodies;
    std::optional<bill_comparison> bills;
    bool has_runs = false;
    std::uint64_t doubled_runs = 0;
    std::uint64_t false_not_run = 0;
    std::uint64_t answered_without_run = 0;
};

} // namespace reedramp::load
