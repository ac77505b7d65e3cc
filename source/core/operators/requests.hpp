#pragma once

#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "http/message.hpp"
#include "inventory/record.hpp"

/// Requests of the operators' commands to the administration API, and the interpretation of the
/// answers. Does no I/O: the program `reedramp-ctl` sends the requests.
namespace reedramp::operators {

/// `GET /admin/v1/<resource>`.
auto read_request(std::string_view resource) -> http::request;

auto publish_request(const inventory::record& item) -> http::request;

auto withdraw_request(const common::version_id& version) -> http::request;

/// For the agent of a backend server.
auto drain_request() -> http::request;

/// For an entry or an agent.
auto metrics_request() -> http::request;

/// For an entry or an agent: asks whether it is ready.
auto health_request() -> http::request;

/// Adds the operator's key as a header. The key must not appear anywhere else, such as in a log
/// line.
auto with_key(http::request request, const std::string& key) -> http::request;

} // namespace reedramp::operators
