#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace reedramp::routing {

/// Position in one of the store's streams: the number of the first record not yet read, in one era
/// of the store. Only the adapter makes positions from offsets.
///
/// The store may come back from an older copy of itself: what was written since is gone, its era
/// rises, and offsets are given out again to other records. So positions of two eras are ordered by
/// era, and an offset alone says nothing. The era stands above the offset in one number, as entries
/// tell each other positions: 16 million eras, and 10^12 records a stream.
class stream_position {
public:
    constexpr stream_position() = default;

    /// As entries tell it.
    constexpr explicit stream_position(std::uint64_t told) : number(told) {}

    static constexpr auto at(std::uint64_t era, std::uint64_t offset) -> stream_position
    {
        return stream_position{(era << offset_bits) | (offset & largest_offset)};
    }

    [[nodiscard]] constexpr auto value() const -> std::uint64_t { return this->number; }

    /// 0 of a store that says none.
    [[nodiscard]] constexpr auto era() const -> std::uint64_t
    {
        return this->number >> offset_bits;
    }

    [[nodiscard]] constexpr auto offset() const -> std::uint64_t
    {
        return this->number & largest_offset;
    }

    constexpr auto operator<=>(const stream_position&) const = default; // NOLINT(*-nullptr)

private:
    static constexpr unsigned offset_bits = 40;
    static constexpr std::uint64_t largest_offset = (1ULL << offset_bits) - 1;

    std::uint64_t number = 0;
};

inline auto operator<<(std::ostream& out, stream_position position) -> std::ostream&
{
    return out << position.era() << ":" << position.offset();
}

} // namespace reedramp::routing
