#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include "settings/schema.hpp"

namespace reedramp::settings {

/// Whether `text` is an IP number and a port.
auto is_address(std::string_view text) -> bool;

/// The value of a key, if the JSON value is of its type and in its range; else what is wrong.
auto read_value(const key& which, const boost::json::value& found)
    -> tl::expected<value, std::string>;

} // namespace reedramp::settings
