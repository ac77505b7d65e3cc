#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/ids.hpp"
#include "inventory/state.hpp"
#include "messages/peer.hpp"
#include "policy/regression_detector.hpp"

namespace reedramp::control {

/// What an entry remembers of a response that may be rated later.
struct rated_answer {
    common::version_id version;
    common::organisation_id organisation;
    common::task_name task;
};

/// Holds up to `limit` responses until their rating arrives. Beyond the limit the oldest response
/// is dropped, and its rating is then ignored. Thread-safe.
class unrated_answers {
public:
    explicit unrated_answers(std::size_t limit);

    auto add(const common::request_id& request, rated_answer answer) -> void;

    /// Removes and returns the response, so that a rating that is delivered twice counts once.
    auto take(const common::request_id& request) -> std::optional<rated_answer>;

private:
    std::mutex lock;
    std::size_t limit;
    std::unordered_map<common::request_id, rated_answer> answers;
    std::deque<common::request_id> order;
};

/// The properties of an ended run that the regression detector uses.
struct observed_run {
    common::version_id version;
    bool failed = false;
    bool slow = false;
};

/// Records one entry's own evidence for each running roll-out. Thread-safe.
class evidence_recorder {
public:
    explicit evidence_recorder(policy::regression_detector_options options);

    auto on_run(const inventory::state& current, const observed_run& run) -> void;
    auto on_rating(const inventory::state& current, const common::version_id& version, double score)
        -> void;

    /// Sets the baseline of the roll-outs whose old version `baseline` describes. `baseline` holds
    /// the sums over all entries.
    auto
    set_pooled_baseline(const inventory::state& current, const messages::version_evidence& baseline)
        -> void;

    /// Totals since the start of each roll-out: one row for its old version and one for its new
    /// version.
    [[nodiscard]] auto report() const -> std::vector<messages::version_evidence>;

private:
    struct rollout_evidence {
        policy::regression_evidence regression;
        messages::version_evidence old_counts;
        messages::version_evidence new_counts;
    };

    auto evidence_of(const inventory::rollout& item) -> rollout_evidence&;

    mutable std::mutex lock;
    policy::regression_detector_options options;
    /// By the new version of the roll-out.
    std::map<common::version_id, rollout_evidence> evidence_by_version;
};

} // namespace reedramp::control
