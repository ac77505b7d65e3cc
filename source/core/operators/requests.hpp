#pragma once

#include <string>
#include <string_view>

#include "common/ids.hpp"
#include "http/message.hpp"
#include "inventory/record.hpp"

/// What an operator's command asks of the administration API, and what its answers mean. No I/O:
/// the program `reedramp-ctl` sends the requests.
namespace reedramp::operators {

/// `GET /admin/v1/<resource>`.
auto read_request(std::string_view resource) -> http::request;

auto publish_request(const inventory::record& item) -> http::request;

auto withdraw_request(const common::version_id& version) -> http::request;

/// To the agent beside a backend server.
auto drain_request() -> http::request;

/// To any process.
auto metrics_request() -> http::request;

/// To any process: whether it takes work.
auto health_request() -> http::request;

/// The request with the operator's key. The key goes into this header only, never into a log line.
auto with_key(http::request asked, const std::string& key) -> http::request;

} // namespace reedramp::operators
