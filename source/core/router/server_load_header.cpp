#include "router/server_load_header.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <string_view>

namespace reedramp::router {

namespace {

/// Running, waiting and slots, and on some services the present speed.
constexpr std::size_t min_figures = 3;
constexpr std::size_t max_figures = 4;
/// More than any server can have, and small enough that sums do not overflow.
constexpr unsigned max_figure = 1'000'000;
/// Value of the fourth figure at a host that is as fast as usual.
constexpr double usual_speed_figure = 100.0;

/// Removes the whitespace that HTTP allows around the elements of a list.
auto trimmed(std::string_view text) -> std::string_view
{
    constexpr std::string_view whitespace = " \t";
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/// Parses an integer from 0 to `max_figure`. Returns nothing for any other text.
auto parse_figure(std::string_view text) -> std::optional<unsigned>
{
    unsigned value = 0;
    const auto* end = text.data() + text.size();
    const auto [unparsed, problem] = std::from_chars(text.data(), end, value);
    const bool is_figure = problem == std::errc{} && unparsed == end && value <= max_figure;
    return is_figure ? std::optional{value} : std::nullopt;
}

auto parse_load(std::string_view text) -> std::optional<routing::stated_load>
{
    std::array<unsigned, max_figures> figures{};
    std::size_t count = 0;
    for (bool has_more = true; has_more; ++count) {
        const auto comma = std::min(text.find(','), text.size());
        const auto figure = parse_figure(trimmed(text.substr(0, comma)));
        if (!figure || count == max_figures) {
            return std::nullopt;
        }
        figures[count] = *figure;
        has_more = comma < text.size();
        text.remove_prefix(has_more ? comma + 1 : comma);
    }
    const auto [running, waiting, slots, speed] = figures;
    const bool has_speed = count == max_figures;
    if (count < min_figures || slots == 0 || (has_speed && speed == 0)) {
        return std::nullopt;
    }
    return routing::stated_load{
        running,
        waiting,
        slots,
        has_speed ? std::optional{speed / usual_speed_figure} : std::nullopt};
}

} // namespace

auto read_server_load(const http::response& head, const header_names& names) -> load_header
{
    load_header read;
    for (const auto& one : head.headers) {
        if (!http::same_name(one.name, names.load)) {
            continue;
        }
        const auto load = parse_load(one.value);
        // Of two headers, neither is known to be the right one.
        read.is_malformed = read.is_malformed || read.load || !load;
        read.load = load;
    }
    if (read.is_malformed) {
        read.load.reset();
    }
    return read;
}

} // namespace reedramp::router
