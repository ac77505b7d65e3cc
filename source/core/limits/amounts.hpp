#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace reedramp::limits {

/// The limited quantities, in the order of the fields of `amounts`.
enum class dimension : std::uint8_t { requests, tokens, money };

inline constexpr std::size_t dimension_count = 3;

/// Requests, tokens and money (in micro units). As a limit, each value is per minute, and zero
/// means unlimited.
struct amounts {
    double requests = 0.0;
    double tokens = 0.0;
    double money = 0.0;

    [[nodiscard]] auto values() const -> std::array<double, dimension_count>
    {
        return {this->requests, this->tokens, this->money};
    }

    static auto of(const std::array<double, dimension_count>& values) -> amounts
    {
        return {values[0], values[1], values[2]};
    }
};

} // namespace reedramp::limits
