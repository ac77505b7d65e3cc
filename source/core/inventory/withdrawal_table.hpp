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

/// A withdrawal that is in force in this process but has not been read back from the log.
struct pending_withdrawal {
    messages::withdrawal item;
    std::string author;
    /// Whether this process received the withdrawal from the operator.
    bool is_own = false;
    /// Earliest time of the next append.
    common::time_point append_at;
    /// It is appended only if the log, read at or after this time, does not contain it.
    common::time_point read_after = common::time_point::min();
    /// When the append in flight is considered lost; `never` if there is none.
    common::time_point append_deadline = common::never;
};

enum class add_step : std::uint8_t { added, known, full };

/// Withdrawals that are not in the log yet, up to a maximum number.
class withdrawal_table {
public:
    explicit withdrawal_table(std::size_t limit) : max_size(limit) {}

    auto add(pending_withdrawal item) -> add_step;

    /// Drops the withdrawals that `current` has from the log, and sets its `withdrawn_early` to the
    /// others.
    auto update_state(state& current) -> void;

    [[nodiscard]] auto list() const -> std::vector<messages::withdrawal>;

    /// Returns the withdrawals to append now, and marks them as in flight until
    /// `on_append_answered`, `on_append_refused` or `append_deadline`. `evidence` is the time as of
    /// which the log has been read. A tailer also appends withdrawals that another process received
    /// but did not append.
    auto take_due(
        common::time_point now,
        std::optional<common::time_point> evidence,
        bool is_tailer,
        common::time_point append_deadline) -> std::vector<pending_withdrawal>;

    /// The log refused the append; `append_at` is the time of the next one.
    auto on_append_refused(const common::version_id& version, common::time_point append_at) -> void;

    /// The log accepted the append, or its outcome is unknown: the log must be read before a retry.
    auto on_append_answered(const common::version_id& version, common::time_point now) -> void;

    [[nodiscard]] auto empty() const -> bool { return this->items.empty(); }

private:
    std::size_t max_size;
    std::map<common::version_id, pending_withdrawal> items;
};

} // namespace reedramp::inventory
