#include "router/server_words.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace reedramp::router {

namespace {

/// None for what is no number of zero or more, with nothing else beside it.
auto parse_amount(std::string_view text) -> std::optional<double>
{
    double value = 0.0;
    const auto* end = text.data() + text.size();
    const auto [rest, problem] = std::from_chars(text.data(), end, value);
    const bool is_number = problem == std::errc{} && rest == end;
    return is_number && std::isfinite(value) && value >= 0.0 ? std::optional{value} : std::nullopt;
}

} // namespace

auto read_server_words(const http::response& head, const header_names& names) -> server_words
{
    server_words words;
    for (const auto& one : head.headers) {
        if (!http::same_name(one.name, names.limit)) {
            continue;
        }
        const auto limit = parse_amount(one.value);
        words.has_odd_limit = words.has_odd_limit || !limit;
        // Said twice, the smaller number can't be wrong for the server.
        if (limit) {
            words.limit = std::min(words.limit.value_or(*limit), *limit);
        }
    }
    return words;
}

} // namespace reedramp::router
