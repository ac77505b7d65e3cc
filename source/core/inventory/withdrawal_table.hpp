#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "inventory/state.hpp"
#include "messages/peer.hpp"

namespace reedramp::inventory {

/// A withdrawal that is in force here but not yet read back from the log.
struct pending_withdrawal {
    messages::withdrawal item;
    std::string author;
    /// Whether this process took the operator's order.
    bool is_own = false;
    /// When to append it next.
    common::time_point append_at;
    /// It is appended only after the log, read later than this, still does not show it.
    common::time_point read_after = common::time_point::min();
    /// When the append under way counts as lost; `never` if none is.
    common::time_point answer_until = common::never;
};

enum class add_step : std::uint8_t { added, known, full };

/// Withdrawals that wait for the log. Bounded.
class withdrawal_table {
public:
    explicit withdrawal_table(std::size_t bound) : most(bound) {}

    auto add(pending_withdrawal item) -> add_step;

    /// Drops those that the state has from the log, and lists the rest in its `withdrawn_early`.
    auto settle(state& current) -> void;

    [[nodiscard]] auto list() const -> std::vector<messages::withdrawal>;

    /// Withdrawals to append now; each counts as under way until `answered` or `answer_until`.
    /// `evidence` is the time as of which the log is read; `is_tailer` lets a process append what
    /// another one took and did not bring into the log.
    auto take_due(
        common::time_point now,
        std::optional<common::time_point> evidence,
        bool is_tailer,
        common::time_point answer_until) -> std::vector<pending_withdrawal>;

    /// The log refused: nothing was appended.
    auto refused(const common::version_id& version, common::time_point append_at) -> void;

    /// The log took it, or its answer is unknown: read on before any other try.
    auto answered(const common::version_id& version, common::time_point now) -> void;

    [[nodiscard]] auto empty() const -> bool { return this->items.empty(); }

private:
    std::size_t most;
    std::map<common::version_id, pending_withdrawal> items;
};

} // namespace reedramp::inventory
