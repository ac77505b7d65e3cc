#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "common/ids.hpp"
#include "inventory/state.hpp"
#include "messages/peer.hpp"
#include "platform/hooks.hpp"

namespace reedramp::inventory {

enum class scan_step : std::uint8_t {
    /// Continue with a read after `next_read()`.
    reading,
    /// The log's replica lags behind what was read already; retry later.
    behind,
    /// `take_state()` returns the state as of the head of the log.
    found,
    /// The log has neither its first record nor a valid checkpoint.
    no_checkpoint,
};

/// Builds a state from the log alone: finds a valid checkpoint near the head and folds the records
/// after it. It searches a window before the head, which grows until a checkpoint is found, so that
/// a starting process need not read the whole log.
class checkpoint_scan {
public:
    /// `window` is the number of offsets before the head to search first.
    explicit checkpoint_scan(std::uint64_t window);

    /// The offset to read after. The first read is past any head and returns only the log's bounds.
    [[nodiscard]] auto next_read() const -> common::log_offset;

    auto apply_answer(const platform::read_answer& answer) -> scan_step;

    auto take_state() -> state;

    [[nodiscard]] auto bad_checkpoints() const -> std::uint64_t { return this->bad_count; }

private:
    auto set_bounds(const platform::read_answer& answer) -> void;
    auto begin_window() -> void;
    auto apply_record(const messages::log_record& item) -> void;
    auto try_checkpoint(const messages::log_record& item) -> void;

    std::uint64_t window;
    std::uint64_t bad_count = 0;
    bool has_bounds = false;
    common::log_offset head;
    /// Offset before the oldest record in the log.
    common::log_offset floor;
    /// Offset before the first record of the window.
    common::log_offset start;
    /// Offset of the last record read.
    common::log_offset cursor;
    std::optional<state> candidate;
    /// Records of the window before a candidate is found.
    std::vector<messages::log_record> buffered;
};

} // namespace reedramp::inventory
