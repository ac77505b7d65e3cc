#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "common/ids.hpp"
#include "messages/peer.hpp"

namespace reedramp::inventory {

/// Keeps the last records of the log without gaps, for peers that lack only a few.
class record_buffer {
public:
    record_buffer(std::size_t max_records, std::size_t max_bytes);

    /// Clears the buffer; the next record follows the offset `begin`.
    auto reset(common::log_offset begin) -> void;

    auto push(messages::log_record item) -> void;

    /// All records after `have`; nullopt if some of them are no longer in the buffer.
    [[nodiscard]] auto after(common::log_offset have) const
        -> std::optional<std::vector<messages::log_record>>;

private:
    auto drop_oldest() -> void;

    std::size_t max_records;
    std::size_t max_bytes;
    std::size_t bytes = 0;
    common::log_offset begin;
    std::deque<messages::log_record> records;
};

} // namespace reedramp::inventory
