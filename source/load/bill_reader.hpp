#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "messages/peer.hpp"
#include "report.hpp"

namespace reedramp::load {

/// Collects the bills in the log and compares them with the answers that callers received: each
/// answered request must have a bill with the tokens of its answer. Only the first bill of a
/// request counts, as in the ledger.
class bill_reader {
public:
    /// Adds the next records of the stream `bills`. Unreadable records are skipped.
    auto add_records(const std::vector<messages::log_record>& records) -> void;

    /// Offset of the last record added; reading continues after it.
    [[nodiscard]] auto offset() const -> common::log_offset { return this->last_offset; }

    /// Compares with completion tokens by request id.
    [[nodiscard]] auto
    compare(const std::unordered_map<std::string, std::uint64_t>& answered_tokens) const
        -> bill_comparison;

private:
    struct request_bill {
        std::size_t lines = 0;
        std::uint64_t completion_tokens = 0;
        std::int64_t cost_micro = 0;
    };

    common::log_offset last_offset;
    std::unordered_map<std::string, request_bill> bills;
};

/// Adds the run counts by body that one plain service reports (`GET /runs/bodies`) to `into`; false
/// if the answer is malformed.
auto add_run_bodies(std::string_view json, run_counts& into) -> bool;

} // namespace reedramp::load
