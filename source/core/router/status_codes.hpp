#pragma once

#include <cstdint>

/// HTTP status codes of servers' responses that decisions depend on.
namespace reedramp::router::status {

inline constexpr std::uint16_t misdirected = 421;
inline constexpr std::uint16_t unavailable = 503;
inline constexpr std::uint16_t gateway_timeout = 504;

constexpr auto is_success(std::uint16_t status) -> bool
{
    return status >= 200 && status < 300; // NOLINT(readability-magic-numbers): the 2xx class
}

} // namespace reedramp::router::status
