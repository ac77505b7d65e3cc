#pragma once

#include <cstdint>
#include <optional>

#include "common/ids.hpp"
#include "platform/hooks.hpp"

namespace reedramp::claims {

/// Finds the offset from which an arbiter that takes over has to replay its partition's stream.
///
/// The newest record's horizon H is the first offset whose claims may still hold keys. Judging
/// these claims requires the keys that were held when they were made, and those lie at or after the
/// horizon stored in the record at H. Replay therefore starts there, two windows back. If one of
/// these records cannot be read, everything that the log still holds is replayed.
class replay_start_search {
public:
    /// Offset after which the next read of the stream starts. Read without waiting for records.
    [[nodiscard]] auto read_after() const -> common::log_offset;

    /// Handles the answer to that read. Returns the start offset once it is known.
    auto on_answer(const platform::read_answer& answer) -> std::optional<common::log_offset>;

private:
    enum class phase : std::uint8_t { find_head, read_head, read_horizon };

    phase current_phase = phase::find_head;
    /// Offset of the record to read next.
    common::log_offset target;
    common::log_offset oldest;
};

} // namespace reedramp::claims
