#include "settings/keys.hpp"

#include <string>

namespace reedramp::settings {

namespace {

constexpr double longest_ms = 24.0 * 3600 * 1000;
constexpr double most_bytes = 1e10;
constexpr double longest_name = 200;
constexpr double longest_path = 4096;

} // namespace

auto text_key(const char* path, const char* doc) -> key
{
    return {
        .path = path, .type = value_type::text, .doc = doc, .lowest = 1, .highest = longest_name};
}

auto optional_text_key(const char* path, const char* doc) -> key
{
    return {
        .path = path,
        .type = value_type::text,
        .doc = doc,
        .fallback = std::string{},
        .lowest = 0,
        .highest = longest_path};
}

auto address_key(const char* path, const char* doc) -> key
{
    return {.path = path, .type = value_type::address, .doc = doc};
}

auto number_key(
    const char* path, const char* doc, std::int64_t fallback, double lowest, double highest) -> key
{
    return {
        .path = path,
        .type = value_type::integer,
        .doc = doc,
        .fallback = fallback,
        .lowest = lowest,
        .highest = highest};
}

auto time_key(const char* path, const char* doc, std::int64_t fallback, double lowest) -> key
{
    auto made = number_key(path, doc, fallback, lowest, longest_ms);
    made.type = value_type::time;
    made.unit = "ms";
    return made;
}

auto bytes_key(const char* path, const char* doc, std::int64_t fallback, double lowest) -> key
{
    auto made = number_key(path, doc, fallback, lowest, most_bytes);
    made.unit = "bytes";
    return made;
}

} // namespace reedramp::settings
