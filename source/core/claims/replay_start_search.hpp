#pragma once

#include <cstdint>
#include <optional>

#include "common/ids.hpp"
#include "platform/hooks.hpp"

namespace reedramp::claims {

/// Finds where a keeper that takes over has to start to read its partition's stream.
///
/// The newest record's horizon H is the first offset whose claims may still hold keys. To judge
/// those claims, the keys that were held when they were made must be known; they lie at or after
/// the horizon that the record at H carries. So reading starts there: two windows back. Where a
/// record on the way cannot be read, all that the log still holds is read.
class replay_start_search {
public:
    /// Pass to the next read of the stream, without waiting.
    [[nodiscard]] auto read_after() const -> common::log_offset;

    /// Takes the answer of that read; gives the offset to start at once it is known.
    auto on_answer(const platform::read_answer& answer) -> std::optional<common::log_offset>;

private:
    enum class step : std::uint8_t { find_head, look_at_head, look_at_horizon };

    step at = step::find_head;
    /// The record to look at.
    common::log_offset wanted;
    common::log_offset oldest;
};

} // namespace reedramp::claims
