#include "router/server_directives.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <string_view>

namespace reedramp::router {

namespace {

/// Parses a finite number of at least 0. Returns nothing for any other text.
auto parse_amount(std::string_view text) -> std::optional<double>
{
    double value = 0.0;
    const auto* end = text.data() + text.size();
    const auto [unparsed, problem] = std::from_chars(text.data(), end, value);
    const bool is_number = problem == std::errc{} && unparsed == end;
    return is_number && std::isfinite(value) && value >= 0.0 ? std::optional{value} : std::nullopt;
}

/// Longest backoff that is honoured; a server that needs longer asks again afterwards.
constexpr double max_backoff_s = 3600.0;

auto to_backoff(double seconds) -> std::chrono::milliseconds
{
    constexpr double ms_per_second = 1000.0;
    const auto ms = std::min(seconds, max_backoff_s) * ms_per_second;
    return std::chrono::milliseconds{static_cast<std::int64_t>(std::ceil(ms))};
}

/// Whether the status means that the server refused the request for now.
auto is_refusal(std::uint16_t status) -> bool
{
    constexpr std::uint16_t too_many = 429;
    constexpr std::uint16_t unavailable = 503;
    return status == too_many || status == unavailable;
}

/// Stores the limit. If a response states two, the smaller one is safe for the server.
auto add_limit(server_directives& directives, std::string_view value) -> void
{
    const auto limit = parse_amount(value);
    directives.has_malformed_limit = directives.has_malformed_limit || !limit;
    if (limit) {
        directives.limit = std::min(directives.limit.value_or(*limit), *limit);
    }
}

/// Stores the backoff. If a response states two, the longer one is kept.
auto add_backoff(server_directives& directives, std::string_view value) -> void
{
    const auto seconds = parse_amount(value);
    directives.has_malformed_backoff = directives.has_malformed_backoff || !seconds;
    if (seconds) {
        const auto backoff = to_backoff(*seconds);
        directives.backoff = std::max(directives.backoff.value_or(backoff), backoff);
    }
}

} // namespace

auto read_server_directives(const http::response& head, const header_names& names)
    -> server_directives
{
    server_directives directives;
    for (const auto& one : head.headers) {
        if (http::same_name(one.name, names.limit)) {
            add_limit(directives, one.value);
        }
        else if (is_refusal(head.status) && http::same_name(one.name, "Retry-After")) {
            add_backoff(directives, one.value);
        }
        else if (http::same_name(one.name, names.leaving)) {
            directives.is_leaving = directives.is_leaving || one.value == "1";
        }
    }
    return directives;
}

} // namespace reedramp::router
