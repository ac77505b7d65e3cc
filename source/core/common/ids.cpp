#include "common/ids.hpp"

#include <charconv>
#include <cstdio>

namespace reedramp::common {

namespace {

constexpr std::size_t half_digits = 16;

auto parse_half(std::string_view digits) -> std::optional<std::uint64_t>
{
    std::uint64_t value = 0;
    const auto* last = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), last, value, 16);
    if (parsed.ec != std::errc{} || parsed.ptr != last) {
        return std::nullopt;
    }
    return value;
}

} // namespace

auto to_string(const request_id& id) -> std::string
{
    std::array<char, 2 * half_digits + 1> text{};
    std::snprintf(
        text.data(),
        text.size(),
        "%016llx%016llx",
        static_cast<unsigned long long>(id.high),
        static_cast<unsigned long long>(id.low));
    return {text.data(), 2 * half_digits};
}

auto parse_request_id(std::string_view text) -> std::optional<request_id>
{
    if (text.size() != 2 * half_digits) {
        return std::nullopt;
    }
    const auto high = parse_half(text.substr(0, half_digits));
    const auto low = parse_half(text.substr(half_digits));
    if (!high || !low) {
        return std::nullopt;
    }
    return request_id{*high, *low};
}

auto operator<<(std::ostream& out, const request_id& id) -> std::ostream&
{
    return out << to_string(id);
}

} // namespace reedramp::common
