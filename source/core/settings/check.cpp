#include "settings/check.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

#include <arpa/inet.h>

namespace reedramp::settings {

namespace {

using read_answer = tl::expected<value, std::string>;

auto wrong(std::string message) -> tl::unexpected<std::string>
{
    return tl::unexpected<std::string>(std::move(message));
}

auto number_text(double number) -> std::string
{
    constexpr std::size_t longest = 32;
    std::array<char, longest> text{};
    std::snprintf(text.data(), text.size(), "%.15g", number);
    return text.data();
}

/// Empty when `size` is in the key's range.
auto range_problem(const key& which, double size, std::string_view what) -> std::string
{
    if (size < which.lowest) {
        return std::string{what} + " has to be at least " + number_text(which.lowest);
    }
    if (size > which.highest) {
        return std::string{what} + " has to be at most " + number_text(which.highest);
    }
    return {};
}

auto check_text(const key& which, const std::string& text) -> std::string
{
    if (which.type == value_type::address || which.type == value_type::address_list) {
        return is_address(text) ? std::string{} : "has to be an address like 127.0.0.1:8080";
    }
    if (!which.choices.empty() && std::ranges::find(which.choices, text) == which.choices.end()) {
        std::string allowed;
        for (const auto& choice : which.choices) {
            allowed += (allowed.empty() ? "" : ", ") + choice;
        }
        return "has to be one of " + allowed;
    }
    return {};
}

auto read_text(const key& which, const boost::json::value& found) -> read_answer
{
    if (!found.is_string()) {
        return wrong("has to be a string");
    }
    std::string text{found.as_string()};
    auto problem = check_text(which, text);
    if (problem.empty()) {
        problem = range_problem(which, static_cast<double>(text.size()), "its length");
    }
    if (!problem.empty()) {
        return wrong(problem);
    }
    return text;
}

auto read_integer(const key& which, const boost::json::value& found) -> read_answer
{
    if (!found.is_int64()) {
        return wrong("has to be an integer");
    }
    const auto number = found.as_int64();
    const auto problem = range_problem(which, static_cast<double>(number), "it");
    if (!problem.empty()) {
        return wrong("is " + std::to_string(number) + ", " + problem);
    }
    return number;
}

auto read_real(const key& which, const boost::json::value& found) -> read_answer
{
    if (!found.is_number()) {
        return wrong("has to be a number");
    }
    const auto number = found.to_number<double>();
    const auto problem = range_problem(which, number, "it");
    if (!problem.empty()) {
        return wrong("is " + number_text(number) + ", " + problem);
    }
    return number;
}

/// Milliseconds in a unit's one; 0 for what is no unit of time.
auto milliseconds_in(std::string_view unit) -> double
{
    constexpr double in_second = 1000.0;
    return unit == "ms" ? 1.0 : unit == "s" ? in_second : 0.0;
}

/// Milliseconds of "8.5 s", "8500ms"; NaN for what is no time.
auto parse_time(std::string_view text) -> double
{
    double number = 0.0;
    const auto* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, number, std::chars_format::fixed);
    auto unit = text.substr(static_cast<std::size_t>(parsed.ptr - text.data()));
    unit.remove_prefix(std::min(unit.find_first_not_of(' '), unit.size()));
    const auto factor = milliseconds_in(unit);
    const bool is_time = parsed.ec == std::errc{} && factor > 0.0;
    return is_time ? number * factor : std::nan("");
}

/// Operators' bounds are whole numbers on one installation and fractions on the next, in seconds or
/// in milliseconds. Read here alone, each form works, and a program does not end at its start for
/// one that another key would have taken.
auto read_time(const key& which, const boost::json::value& found) -> read_answer
{
    if (!found.is_number() && !found.is_string()) {
        return wrong("has to be a number of ms, or a time like \"8.5 s\"");
    }
    const auto time = found.is_number()
                          ? found.to_number<double>()
                          : parse_time({found.as_string().data(), found.as_string().size()});
    const auto given = found.is_string() ? std::string{found.as_string()} : number_text(time);
    if (!std::isfinite(time)) {
        return wrong("is " + given + ", has to be a number of ms, or a time like \"8.5 s\"");
    }
    const auto whole = std::round(time);
    if (whole < which.lowest || whole > which.highest) {
        return wrong(
            "is " + given + ", has to be from " + number_text(which.lowest) + " to " +
            number_text(which.highest) + " ms");
    }
    return static_cast<std::int64_t>(whole);
}

auto read_boolean(const boost::json::value& found) -> read_answer
{
    if (!found.is_bool()) {
        return wrong("has to be true or false");
    }
    return found.as_bool();
}

auto read_list(const key& which, const boost::json::value& found) -> read_answer
{
    if (!found.is_array()) {
        return wrong("has to be an array of strings");
    }
    text_list list;
    for (const auto& member : found.as_array()) {
        if (!member.is_string()) {
            return wrong("has to be an array of strings");
        }
        list.emplace_back(member.as_string());
        const auto problem = check_text(which, list.back());
        if (!problem.empty()) {
            return wrong("member " + std::to_string(list.size() - 1) + " " + problem);
        }
    }
    const auto problem = range_problem(which, static_cast<double>(list.size()), "its length");
    if (!problem.empty()) {
        return wrong(problem);
    }
    return list;
}

auto read_map(const key& which, const boost::json::value& found) -> read_answer
{
    if (!found.is_object()) {
        return wrong("has to be an object of strings");
    }
    text_map map;
    for (const auto& member : found.as_object()) {
        if (!member.value().is_string()) {
            return wrong("member " + std::string{member.key()} + " has to be a string");
        }
        map.emplace(member.key(), member.value().as_string());
    }
    const auto problem = range_problem(which, static_cast<double>(map.size()), "its size");
    if (!problem.empty()) {
        return wrong(problem);
    }
    return map;
}

} // namespace

auto is_address(std::string_view text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const auto port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto* last = port_text.data() + port_text.size();
    const auto parsed = std::from_chars(port_text.data(), last, port);
    if (parsed.ec != std::errc{} || parsed.ptr != last) {
        return false;
    }
    std::string number{text.substr(0, colon)};
    std::array<unsigned char, sizeof(in6_addr)> ignored{};
    const bool in_brackets = number.size() > 2 && number.front() == '[' && number.back() == ']';
    if (in_brackets) {
        number = number.substr(1, number.size() - 2);
    }
    return inet_pton(in_brackets ? AF_INET6 : AF_INET, number.c_str(), ignored.data()) == 1;
}

auto read_value(const key& which, const boost::json::value& found) -> read_answer
{
    switch (which.type) {
    case value_type::text:
    case value_type::address:
        return read_text(which, found);
    case value_type::integer:
        return read_integer(which, found);
    case value_type::real:
        return read_real(which, found);
    case value_type::boolean:
        return read_boolean(found);
    case value_type::text_list:
    case value_type::address_list:
        return read_list(which, found);
    case value_type::text_map:
        return read_map(which, found);
    case value_type::time:
        return read_time(which, found);
    }
    return wrong("has an unknown type");
}

} // namespace reedramp::settings
