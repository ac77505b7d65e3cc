#include "router/server_directives.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
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

/// A longer rest is asked for again when it has ended.
constexpr double longest_rest_s = 3600.0;

auto as_rest(double seconds) -> std::chrono::milliseconds
{
    constexpr double ms_per_second = 1000.0;
    const auto ms = std::min(seconds, longest_rest_s) * ms_per_second;
    return std::chrono::milliseconds{static_cast<std::int64_t>(std::ceil(ms))};
}

/// Statuses with which a server turns a request away.
auto turns_away(std::uint16_t status) -> bool
{
    constexpr std::uint16_t too_many = 429;
    constexpr std::uint16_t unavailable = 503;
    return status == too_many || status == unavailable;
}

/// Of two limits in one answer the smaller one can't be wrong for the server.
auto take_limit(server_directives& words, std::string_view value) -> void
{
    const auto limit = parse_amount(value);
    words.has_odd_limit = words.has_odd_limit || !limit;
    if (limit) {
        words.limit = std::min(words.limit.value_or(*limit), *limit);
    }
}

/// Of two rests the longer one.
auto take_rest(server_directives& words, std::string_view value) -> void
{
    const auto seconds = parse_amount(value);
    words.has_odd_rest = words.has_odd_rest || !seconds;
    if (seconds) {
        const auto rest = as_rest(*seconds);
        words.rest = std::max(words.rest.value_or(rest), rest);
    }
}

} // namespace

auto read_server_words(const http::response& head, const header_names& names) -> server_directives
{
    server_directives words;
    for (const auto& one : head.headers) {
        if (http::same_name(one.name, names.limit)) {
            take_limit(words, one.value);
        }
        else if (turns_away(head.status) && http::same_name(one.name, "Retry-After")) {
            take_rest(words, one.value);
        }
        else if (http::same_name(one.name, names.leaving)) {
            words.is_leaving = words.is_leaving || one.value == "1";
        }
    }
    return words;
}

} // namespace reedramp::router
