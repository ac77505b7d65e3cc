#include "http/request_memory.hpp"

namespace reedramp::http {

auto request_memory::change(std::size_t before, std::size_t after) -> void
{
    // Unsigned arithmetic wraps around, so that one addition does for both directions.
    this->sum += after - before;
}

auto request_memory::has_room(std::size_t held, std::size_t size) const -> bool
{
    constexpr std::size_t large_part = 32;
    constexpr std::size_t reserved_part = 4;
    if (this->limit == 0) {
        return true;
    }
    const bool is_large = size > this->limit / large_part;
    const auto bound = is_large ? this->limit - this->limit / reserved_part : this->limit;
    return this->sum - held + size <= bound;
}

} // namespace reedramp::http
