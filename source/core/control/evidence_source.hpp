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

/// What an entry knows of an answer that may be rated later.
struct rated_answer {
    common::version_id version;
    common::organisation_id organisation;
    common::task_name task;
};

/// Answers that wait for their rating, at most `limit` of them; the oldest is forgotten first,
/// which only costs its rating. Safe for several threads.
class awaiting_ratings {
public:
    explicit awaiting_ratings(std::size_t limit);

    auto add(const common::request_id& request, rated_answer answer) -> void;

    /// Takes the answer out, so that a rating that is delivered twice counts once.
    auto take(const common::request_id& request) -> std::optional<rated_answer>;

private:
    std::mutex lock;
    std::size_t limit;
    std::unordered_map<common::request_id, rated_answer> answers;
    std::deque<common::request_id> order;
};

/// How one run ended, as far as the guard looks at it.
struct observed_run {
    common::version_id version;
    bool failed = false;
    bool slow = false;
};

/// One entry's own evidence on each running roll-out. Safe for several threads.
class evidence_source {
public:
    explicit evidence_source(policy::regression_detector_options options);

    auto on_run(const inventory::state& current, const observed_run& run) -> void;
    auto on_rating(const inventory::state& current, const common::version_id& version, double score)
        -> void;

    /// Takes the sums over all entries for the old version of a roll-out, to bet against.
    auto use_pooled(const inventory::state& current, const messages::version_evidence& old_one)
        -> void;

    /// Totals since each roll-out began, one row for each new version and one for each old one.
    [[nodiscard]] auto report() const -> std::vector<messages::version_evidence>;

private:
    struct account {
        policy::regression_evidence bets;
        messages::version_evidence old_counts;
        messages::version_evidence new_counts;
    };

    auto account_of(const inventory::rollout& item) -> account&;

    mutable std::mutex lock;
    policy::regression_detector_options options;
    std::map<common::version_id, account> accounts;
};

} // namespace reedramp::control
