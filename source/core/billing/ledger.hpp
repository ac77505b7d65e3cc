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

/// Sums the bills of the log. A bill counts once by its id, however often it was appended: a batch
/// whose append answer was lost is sent again, and a leaving process hands over what it could not
/// confirm, so that records repeat. It remembers all ids that it has read, about 40 bytes each.
class ledger {
public:
    /// Takes the next record of the stream `bills`. Gives `skipped` for an offset already taken.
    auto take(const messages::log_record& record) -> ledger_outcome;

    /// Counts one bill.
    auto count(const messages::bill& item) -> ledger_outcome;

    [[nodiscard]] auto by_organisation() const -> const std::map<common::organisation_id, totals>&
    {
        return this->organisations;
    }

    [[nodiscard]] auto by_version() const -> const std::map<common::version_id, totals>&
    {
        return this->versions;
    }

    [[nodiscard]] auto offset() const -> common::log_offset { return this->last; }

    /// Records that could not be read.
    [[nodiscard]] auto malformed() const -> std::uint64_t { return this->malformed_records; }

    /// Bills that came a second time.
    [[nodiscard]] auto repeated() const -> std::uint64_t { return this->repeated_bills; }

private:
    /// Fingerprints of organisation and request of all bills read, 128 bits each.
    std::unordered_set<common::request_id> seen;
    std::map<common::organisation_id, totals> organisations;
    std::map<common::version_id, totals> versions;
    common::log_offset last;
    std::uint64_t malformed_records = 0;
    std::uint64_t repeated_bills = 0;
};

} // namespace reedramp::billing
