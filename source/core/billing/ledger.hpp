#pragma once

#include <cstdint>
#include <map>
#include <unordered_set>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "messages/peer.hpp"
#include "messages/run.hpp"

namespace reedramp::billing {

struct totals {
    std::uint64_t requests = 0;
    std::uint64_t lines = 0;
    messages::usage used;
    common::micro_money cost;
};

enum class ledger_outcome : std::uint8_t { counted, repeated, malformed, skipped };

/// Sums the bills in the log. A bill counts once by its id, however often it was appended: a batch
/// is sent again when the response to its append was lost, and a process that shuts down hands over
/// the bills that it could not confirm, so bills occur in several records. The ledger keeps the ids
/// of all bills that it has read, about 40 bytes each.
class ledger {
public:
    /// Applies the next record of the stream `bills`. Returns `skipped` for an offset that was
    /// applied already, and `repeated` if none of the record's bills is new.
    auto apply(const messages::log_record& record) -> ledger_outcome;

    /// Adds one bill to the sums, unless it was counted before.
    auto count(const messages::bill& item) -> ledger_outcome;

    [[nodiscard]] auto by_organisation() const -> const std::map<common::organisation_id, totals>&
    {
        return this->organisations;
    }

    [[nodiscard]] auto by_version() const -> const std::map<common::version_id, totals>&
    {
        return this->versions;
    }

    /// Offset of the last record applied.
    [[nodiscard]] auto offset() const -> common::log_offset { return this->last; }

    /// Number of malformed records.
    [[nodiscard]] auto malformed() const -> std::uint64_t { return this->malformed_records; }

    /// Number of bills that were counted before.
    [[nodiscard]] auto repeated() const -> std::uint64_t { return this->repeated_bills; }

private:
    /// 128-bit fingerprints of the organisation and request id of all bills read.
    std::unordered_set<common::request_id> seen;
    std::map<common::organisation_id, totals> organisations;
    std::map<common::version_id, totals> versions;
    common::log_offset last;
    std::uint64_t malformed_records = 0;
    std::uint64_t repeated_bills = 0;
};

} // namespace reedramp::billing
