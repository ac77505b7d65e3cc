#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

/// Decisions for times when callers compete for too little capacity: how scarce it is, who gives
/// way, and what is refused. Uses no sockets.
namespace reedramp::overload {

/// Whether these decisions are in force.
enum class control_mode : std::uint8_t {
    off,
    on,
    /// In force where the deployment states that callers compete for capacity, or once a server has
    /// stated its present speed.
    automatic,
};

/// Returns nothing for an unknown name.
constexpr auto parse_control_mode(std::string_view text) -> std::optional<control_mode>
{
    if (text == "off") {
        return control_mode::off;
    }
    if (text == "on") {
        return control_mode::on;
    }
    return text == "automatic" ? std::optional{control_mode::automatic} : std::nullopt;
}

} // namespace reedramp::overload
