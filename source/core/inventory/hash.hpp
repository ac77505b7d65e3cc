#pragma once

#include <string>
#include <string_view>

namespace reedramp::inventory {

/// SHA-256 as 64 lower-case hexadecimal digits; the inventory stores API keys in this form.
auto sha256_hex(std::string_view text) -> std::string;

} // namespace reedramp::inventory
