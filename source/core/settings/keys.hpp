#pragma once

#include <cstdint>

#include "settings/schema.hpp"

/// Short ways to declare the keys that most programs have.
namespace reedramp::settings {

/// A name that must be given.
auto text_key(const char* path, const char* doc) -> key;

/// A text or path that may be left out; it is empty then.
auto optional_text_key(const char* path, const char* doc) -> key;

/// "IP:port".
auto address_key(const char* path, const char* doc) -> key;

auto number_key(
    const char* path, const char* doc, std::int64_t fallback, double lowest, double highest) -> key;

/// A time of at most a day; `fallback` and `lowest` in milliseconds.
auto time_key(const char* path, const char* doc, std::int64_t fallback, double lowest = 1) -> key;

auto bytes_key(const char* path, const char* doc, std::int64_t fallback, double lowest = 0) -> key;

} // namespace reedramp::settings
