#include "routing/prompt_parts.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>

#include "placement/affinity.hpp"

namespace reedramp::routing {

namespace {

constexpr int hexadecimal = 16;

auto parse_part(std::string_view text) -> std::optional<part_id>
{
    std::uint64_t value = 0;
    const auto* last = text.data() + text.size();
    const auto read = std::from_chars(text.data(), last, value, hexadecimal);
    if (read.ec != std::errc{} || read.ptr != last) {
        return std::nullopt;
    }
    return part_id{value};
}

auto to_string(part_id part) -> std::string
{
    std::array<char, hexadecimal> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), part.value(), hexadecimal);
    return {digits.data(), written.ptr};
}

} // namespace

auto part_id_of(std::string_view text) -> part_id
{
    return parse_part(text).value_or(part_id{placement::affinity_hash(text)});
}

auto make_part_set(std::vector<part_id> parts) -> part_set
{
    std::ranges::sort(parts);
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

auto has_all(const part_set& parts, const part_set& needed) -> bool
{
    return std::ranges::includes(parts, needed);
}

auto common_parts(const part_set& one, const part_set& other) -> part_set
{
    part_set both;
    std::ranges::set_intersection(one, other, std::back_inserter(both));
    return both;
}

auto to_string(const part_set& parts) -> std::string
{
    std::string text;
    for (const auto part : parts) {
        text += text.empty() ? "" : ",";
        text += to_string(part);
    }
    return text;
}

auto parse_part_set(std::string_view text) -> std::optional<part_set>
{
    std::vector<part_id> parts;
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        const auto part = parse_part(text.substr(0, comma));
        if (!part) {
            return std::nullopt;
        }
        parts.push_back(*part);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parts.empty() ? std::nullopt : std::optional{make_part_set(std::move(parts))};
}

} // namespace reedramp::routing
