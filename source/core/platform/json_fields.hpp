#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

/// Typed access to the fields of JSON objects. The result is empty for a field that is missing or
/// of another type. To be included in .cpp files only, because Boost.JSON slows down compilation.
namespace reedramp::platform {

/// Parses a JSON object; nullopt if `text` is not valid JSON or not an object.
inline auto parse_object(std::string_view text) -> std::optional<boost::json::object>
{
    boost::system::error_code failed;
    auto parsed = boost::json::parse({text.data(), text.size()}, failed);
    if (failed || !parsed.is_object()) {
        return std::nullopt;
    }
    return std::move(parsed.get_object());
}

inline auto string_field(const boost::json::object& from, std::string_view name)
    -> std::optional<std::string>
{
    const auto* value = from.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_string()) {
        return std::nullopt;
    }
    const auto& text = value->get_string();
    return std::string(text.data(), text.size());
}

/// A non-negative integer. Signed and unsigned JSON numbers are both accepted, because writers
/// differ in how they represent a number such as 3.
inline auto count_field(const boost::json::object& from, std::string_view name)
    -> std::optional<std::uint64_t>
{
    const auto* value = from.if_contains({name.data(), name.size()});
    if (value == nullptr) {
        return std::nullopt;
    }
    boost::system::error_code failed;
    const auto number = value->to_number<std::uint64_t>(failed);
    if (failed) {
        return std::nullopt;
    }
    return number;
}

inline auto number_field(const boost::json::object& from, std::string_view name)
    -> std::optional<double>
{
    const auto* value = from.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    return value->to_number<double>();
}

inline auto bool_field(const boost::json::object& from, std::string_view name)
    -> std::optional<bool>
{
    const auto* value = from.if_contains({name.data(), name.size()});
    if (value == nullptr || !value->is_bool()) {
        return std::nullopt;
    }
    return value->get_bool();
}

inline auto array_field(const boost::json::object& from, std::string_view name)
    -> const boost::json::array*
{
    const auto* value = from.if_contains({name.data(), name.size()});
    return value == nullptr ? nullptr : value->if_array();
}

inline auto object_field(const boost::json::object& from, std::string_view name)
    -> const boost::json::object*
{
    const auto* value = from.if_contains({name.data(), name.size()});
    return value == nullptr ? nullptr : value->if_object();
}

} // namespace reedramp::platform
