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

/// Controllers of shared state: roll-outs, orders to engines. Each is state + event + now ->
/// actions.
namespace reedramp::control {

/// Sums the evidence of all entries on each version.
///
/// Each process reports totals about itself under a growing sequence number, so that a lost,
/// repeated or late report is harmless: the newest one of a process holds everything. What a
/// process reported stays in the sum when it is gone. Safe for several threads.
class evidence_board {
public:
    /// `source_limit` bounds the processes remembered; the one heard of longest ago goes first.
    explicit evidence_board(std::size_t source_limit = 1024);

    /// Takes a report; an older one than known is dropped. Returns whether it was taken.
    auto take(const messages::gossip& report) -> bool;

    [[nodiscard]] auto total_of(const common::version_id& version) const -> policy::wealth;

    /// Sums of counts, for status pages.
    [[nodiscard]] auto counts_of(const common::version_id& version) const
        -> messages::version_evidence;

    [[nodiscard]] auto sources() const -> std::size_t;

private:
    struct source {
        std::uint64_t sequence = 0;
        std::uint64_t heard = 0;
        std::vector<messages::version_evidence> evidence;
    };

    auto drop_oldest() -> void;

    mutable std::mutex lock;
    std::size_t limit;
    std::uint64_t reports = 0;
    std::map<common::host_id, source> by_source;
};

} // namespace reedramp::control
