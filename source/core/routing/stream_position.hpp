#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

namespace reedramp::routing {

/// Position in one of the store's streams: the number of the first record not yet read, within one
/// era of the store. Only the platform adapter creates positions from offsets.
///
/// The store may be restored from an older copy: later writes are lost, its era increases, and
/// offsets are assigned again to other records. Positions are therefore ordered by era first, and
/// an offset alone is not comparable. Both are packed into one number, which entries send to each
/// other, with the era in the upper bits: 16 million eras, and 10^12 records per stream.
class stream_position {
public:
    constexpr stream_position() = default;

    /// From the number that entries send.
    constexpr explicit stream_position(std::uint64_t packed) : number(packed) {}

    static constexpr auto at(std::uint64_t era, std::uint64_t offset) -> stream_position
    {
        return stream_position{(era << offset_bits) | (offset & largest_offset)};
    }

    [[nodiscard]] constexpr auto value() const -> std::uint64_t { return this->number; }

    /// 0 for a store that reports none.
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
