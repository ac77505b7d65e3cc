#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "http/client.hpp"
#include "http/message.hpp"
#include "platform/hooks.hpp"

namespace reedramp::platform {

/// Hooks for the platform's list of hosts over HTTP: `GET /hosts`. Error: `platform_unavailable`.
auto make_http_hosts(std::shared_ptr<http::client> client, http::endpoint where) -> host_hooks;

/// Formats a row as JSON, as in the body of `PUT /hosts/<host>`.
auto format_host(const host_entry& entry) -> std::string;

/// The inverse of `format_host`. Error: `malformed_json`.
auto parse_host(std::string_view text) -> common::result<host_entry>;

/// Formats and parses the response body of `GET /hosts`. Error: `malformed_json`.
auto format_hosts(const std::vector<host_entry>& entries) -> std::string;
auto parse_hosts(std::string_view text) -> common::result<std::vector<host_entry>>;

} // namespace reedramp::platform
