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
    /// Go on with a read after `next_read()`.
    reading,
    /// The log's replica is behind what was read already; read again later.
    behind,
    /// `take_found()` has the state as of the head of the log.
    found,
    /// The log holds neither its first record nor a sound checkpoint.
    no_checkpoint,
};

/// Builds a state from the log alone: finds the newest sound checkpoint near the head and folds
/// the records after it. Looks in a window before the head, which grows while none is found, so
/// that a start does not read the whole log.
class checkpoint_scan {
public:
    /// `window` is the number of offsets before the head to look at first.
    explicit checkpoint_scan(std::uint64_t window);

    /// The offset to read after. The first read lies past any head, and brings only the bounds.
    [[nodiscard]] auto next_read() const -> common::log_offset;

    auto take(const platform::read_answer& answer) -> scan_step;

    auto take_found() -> state;

    [[nodiscard]] auto bad_checkpoints() const -> std::uint64_t { return this->bad; }

private:
    auto take_bounds(const platform::read_answer& answer) -> void;
    auto begin_window() -> void;
    auto take_record(const messages::log_record& item) -> void;
    auto try_checkpoint(const messages::log_record& item) -> void;

    std::uint64_t window;
    std::uint64_t bad = 0;
    bool has_bounds = false;
    common::log_offset head;
    /// Offset before the oldest record of the log.
    common::log_offset floor;
    common::log_offset start;
    common::log_offset cursor;
    std::optional<state> candidate;
    /// Records of the window while there is no candidate.
    std::vector<messages::log_record> waiting;
};

} // namespace reedramp::inventory
