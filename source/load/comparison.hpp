#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "messages/peer.hpp"
#include "report.hpp"

namespace reedramp::load {

/// Compares the bills of the log with the answers that callers got: each answered request has to
/// have a bill, with the tokens that it brought. A bill counts once by its request, like in the
/// ledger.
class bill_reader {
public:
    /// Takes the next records of the stream `bills`.
    auto take(const std::vector<messages::log_record>& records) -> void;

    /// The offset after which to read on.
    [[nodiscard]] auto offset() const -> common::log_offset { return this->last; }

    [[nodiscard]] auto
    compare(const std::unordered_map<std::string, std::uint64_t>& answered_tokens) const
        -> bill_comparison;

private:
    struct billed {
        std::size_t lines = 0;
        std::uint64_t completion_tokens = 0;
        std::int64_t cost_micro = 0;
    };

    common::log_offset last;
    std::unordered_map<std::string, billed> bills;
};

/// Adds the bodies that one plain service ran (`GET /runs/bodies`) to `into`; false if the answer
/// cannot be read.
auto add_run_bodies(std::string_view json, run_counts& into) -> bool;

} // namespace reedramp::load
