#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/result.hpp"
#include "common/units.hpp"
#include "http/message.hpp"
#include "router/header_names.hpp"

namespace reedramp::router {

using common::time_point;

/// Model name with which callers leave the choice to the system.
inline constexpr std::string_view any_model = "*";

/// One part of a prompt. Requests share parts: a server that has cached a part and all parts before
/// it does not process them again.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

/// Parsed headers of a caller's request.
struct caller_request {
    std::string attempt;
    /// `never` if the caller sets none.
    time_point deadline = common::never;
    std::string key;
    /// Id of the last event that the caller received; -1 if none.
    std::int64_t last_event = -1;
    std::string model;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_answer_tokens = 0;
    /// 0 if the caller does not state it.
    std::uint64_t expected_answer_tokens = 0;
    std::vector<prompt_part> parts;
    /// Empty without a session.
    std::string session;
};

/// Parses the headers. Error `bad_header` for a malformed number or a missing attempt id.
auto read_caller_request(
    const http::request& request, const header_names& names, time_point received)
    -> common::result<caller_request>;

/// Headers that are set on the request to a server.
struct forward_headers {
    std::chrono::milliseconds remaining{0};
    std::string expected_server;
    /// Empty for a route that needs no key.
    std::string organisation;
    /// Empty to keep the caller's choice.
    std::string model;
    /// -1 for a stream from its start.
    std::int64_t last_event = -1;
    /// 0 to 9, 0 is the most urgent; -1 leaves it to the server.
    int urgency = -1;
};

/// Builds the request to a server: same method, target and body, without hop-by-hop headers, the
/// caller's key and reserved headers, and with the headers that this system sets.
auto make_server_request(
    const http::request& request, const header_names& names, const forward_headers& added)
    -> http::request;

/// Copies a server's response without hop-by-hop headers.
auto make_caller_response(const http::response& answer) -> http::response;

} // namespace reedramp::router
