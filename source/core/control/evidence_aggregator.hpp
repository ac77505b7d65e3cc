#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "messages/peer.hpp"
#include "policy/regression_detector.hpp"

/// Controllers of roll-outs, of the orders to engines and of configuration checkpoints. Each maps
/// its state, an event and the current time to a list of actions, and does no I/O.
namespace reedramp::control {

/// Sums the evidence of all entries for each version.
///
/// Each process reports its own running totals with an increasing sequence number, so lost,
/// repeated and reordered reports are harmless: the newest report of a process holds all of its
/// evidence. The totals of a process that has ended stay in the sum.
///
/// Thread-safe.
class evidence_aggregator {
public:
    /// `source_limit` is the maximum number of processes kept; beyond it, the one whose last report
    /// is the oldest is dropped.
    explicit evidence_aggregator(std::size_t source_limit = 1024);

    /// Stores a report, unless one of the same process with this or a later sequence number is
    /// known already. Returns whether it was stored.
    auto apply_report(const messages::gossip& report) -> bool;

    /// Sum of the log wealth that all processes report for the version.
    [[nodiscard]] auto total_of(const common::version_id& version) const -> policy::wealth;

    /// Sums of the counts that all processes report for the version.
    [[nodiscard]] auto counts_of(const common::version_id& version) const
        -> messages::version_evidence;

    /// Number of processes with a stored report.
    [[nodiscard]] auto sources() const -> std::size_t;

private:
    struct source {
        std::uint64_t sequence = 0;
        /// Value of `reports` when the last report of this process was stored.
        std::uint64_t last_report = 0;
        std::vector<messages::version_evidence> evidence;
    };

    auto drop_oldest() -> void;

    mutable std::mutex lock;
    std::size_t limit;
    /// Number of reports stored so far.
    std::uint64_t reports = 0;
    std::map<common::host_id, source> by_source;
};

} // namespace reedramp::control
