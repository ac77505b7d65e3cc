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

/// Whether a server that has not executed a request may answer with the status.
constexpr auto is_refusal(std::uint16_t status) -> bool
{
    const bool is_client_error = status >= 400 && status < 500; // NOLINT(readability-magic-numbers)
    return is_client_error || status == unavailable;
}

} // namespace reedramp::router::status
