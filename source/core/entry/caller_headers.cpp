#include "entry/callers_api.hpp"

#include <algorithm>
#include <charconv>

namespace reedramp::entry {

namespace {

constexpr std::size_t max_key_length = 200;
constexpr std::size_t max_task_length = 64;
constexpr std::string_view bearer_prefix = "Bearer ";

auto lower(char character) -> char
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

auto equal_ignoring_case(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return lower(a) == lower(b);
    });
}

auto bad_header(std::string_view name, std::string_view why)
{
    return common::failure(
        common::result_code::bad_header, std::string(name) + ": " + std::string(why));
}

using header_value = std::optional<std::string_view>;

auto find_single_header(const std::vector<http::header>& headers, std::string_view name)
    -> common::result<header_value>
{
    header_value found;
    for (const auto& item : headers) {
        if (!equal_ignoring_case(item.name, name)) {
            continue;
        }
        if (found) {
            return bad_header(name, "must not be repeated");
        }
        found = item.value;
    }
    return found;
}

auto is_visible(char character) -> bool
{
    return character > ' ' && character <= '~';
}

auto is_task_character(char character) -> bool
{
    const auto small = lower(character);
    return (small >= 'a' && small <= 'z') || (small >= '0' && small <= '9') || small == '-' ||
           small == '_' || small == '.';
}

auto read_bearer(const std::vector<http::header>& headers) -> common::result<std::string>
{
    const auto value = find_single_header(headers, header_names::authorization);
    if (!value) {
        return tl::unexpected(value.error());
    }
    if (!*value) {
        return std::string();
    }
    const auto text = **value;
    if (!equal_ignoring_case(text.substr(0, bearer_prefix.size()), bearer_prefix)) {
        return common::failure(
            common::result_code::unauthenticated, "Authorization: a bearer token is required");
    }
    return std::string(text.substr(bearer_prefix.size()));
}

auto read_key(const std::vector<http::header>& headers)
    -> common::result<std::optional<std::string>>
{
    const auto value = find_single_header(headers, header_names::idempotency_key);
    if (!value) {
        return tl::unexpected(value.error());
    }
    if (!*value) {
        return std::optional<std::string>();
    }
    const auto text = **value;
    if (text.empty() || text.size() > max_key_length ||
        !std::all_of(text.begin(), text.end(), is_visible)) {
        return bad_header(
            header_names::idempotency_key, "must be 1 to 200 visible ASCII characters");
    }
    return std::optional(std::string(text));
}

auto read_session(const std::vector<http::header>& headers)
    -> common::result<std::optional<std::string>>
{
    const auto value = find_single_header(headers, header_names::session);
    if (!value) {
        return tl::unexpected(value.error());
    }
    if (!*value) {
        return std::optional<std::string>();
    }
    return std::optional(std::string(**value));
}

auto read_task(const std::vector<http::header>& headers) -> common::result<common::task_name>
{
    const auto value = find_single_header(headers, header_names::task);
    if (!value) {
        return tl::unexpected(value.error());
    }
    if (!*value) {
        return common::task_name();
    }
    const auto text = **value;
    if (text.empty() || text.size() > max_task_length ||
        !std::all_of(text.begin(), text.end(), is_task_character)) {
        return bad_header(header_names::task, "must be 1 to 64 letters, digits, '-', '_' or '.'");
    }
    return common::task_name(std::string(text));
}

auto read_timeout(const std::vector<http::header>& headers, const header_rules& rules)
    -> common::result<common::duration>
{
    const auto value = find_single_header(headers, header_names::deadline);
    if (!value) {
        return tl::unexpected(value.error());
    }
    if (!*value) {
        return rules.default_timeout;
    }
    const auto text = **value;
    std::uint32_t milliseconds = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != end || milliseconds == 0) {
        return bad_header(
            header_names::deadline, "must be a positive integer number of milliseconds");
    }
    return std::min<common::duration>(std::chrono::milliseconds(milliseconds), rules.max_timeout);
}

} // namespace

auto parse_headers(const std::vector<http::header>& headers, const header_rules& rules)
    -> common::result<caller_headers>
{
    auto bearer = read_bearer(headers);
    if (!bearer) {
        return tl::unexpected(std::move(bearer.error()));
    }
    auto key = read_key(headers);
    if (!key) {
        return tl::unexpected(std::move(key.error()));
    }
    auto session = read_session(headers);
    if (!session) {
        return tl::unexpected(std::move(session.error()));
    }
    auto task = read_task(headers);
    if (!task) {
        return tl::unexpected(std::move(task.error()));
    }
    const auto time = read_timeout(headers, rules);
    if (!time) {
        return tl::unexpected(time.error());
    }
    return caller_headers{
        std::move(*bearer), std::move(*key), std::move(*session), std::move(*task), *time};
}

} // namespace reedramp::entry
