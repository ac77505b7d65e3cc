#include "inventory/record_buffer.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::inventory {

record_buffer::record_buffer(std::size_t wanted_records, std::size_t wanted_bytes)
    : max_records(wanted_records), max_bytes(wanted_bytes)
{
}

auto record_buffer::reset(common::log_offset new_begin) -> void
{
    this->begin = new_begin;
    this->bytes = 0;
    this->records.clear();
}

auto record_buffer::push(messages::log_record item) -> void
{
    this->bytes += item.data.size();
    this->records.push_back(std::move(item));
    while (this->records.size() > this->max_records || this->bytes > this->max_bytes) {
        this->drop_oldest();
    }
}

auto record_buffer::drop_oldest() -> void
{
    this->begin = this->records.front().offset;
    this->bytes -= this->records.front().data.size();
    this->records.pop_front();
}

auto record_buffer::after(common::log_offset have) const
    -> std::optional<std::vector<messages::log_record>>
{
    if (have < this->begin) {
        return std::nullopt;
    }
    const auto first =
        std::ranges::upper_bound(this->records, have, {}, &messages::log_record::offset);
    return std::vector(first, this->records.end());
}

} // namespace reedramp::inventory
