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

/// Callers name this model where they leave the choice to the system.
inline constexpr std::string_view any_model = "*";

/// One part of a prompt. Requests share parts; a server that holds a part, and all before it, reads
/// neither again.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

/// What a caller's headers say, read once.
struct caller_request {
    std::string attempt;
    /// `never` when the caller sets none.
    time_point deadline = common::never;
    std::string key;
    /// Id of the last event that the caller has; -1 without one.
    std::int64_t last_event = -1;
    std::string model;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t most_answer_tokens = 0;
    /// 0 when the caller does not say.
    std::uint64_t expected_answer_tokens = 0;
    std::vector<prompt_part> parts;
    /// Empty without a session.
    std::string session;
};

/// Reads the headers. Errors: `bad_header` for a number that is none or an attempt without an id.
auto read_caller_request(const http::request& asked, const header_names& names, time_point received)
    -> common::result<caller_request>;

/// What a server gets besides the caller's own headers.
struct forward_headers {
    std::chrono::milliseconds left{0};
    std::string expected_server;
    /// Empty for an open route.
    std::string organisation;
    /// Empty when the caller's choice stands.
    std::string model;
    /// -1 for a stream from its beginning.
    std::int64_t last_event = -1;
    /// 0 to 9, 0 first; -1 leaves it to the server.
    int urgency = -1;
};

/// The caller's request for a server: same method, target and body; headers that concern one
/// connection, the key, and those that are the system's to set are replaced.
auto make_forwarded(
    const http::request& asked, const header_names& names, const forward_headers& ours)
    -> http::request;

/// A server's answer without the headers that concern one connection.
auto make_passed_on(const http::response& answer) -> http::response;

} // namespace reedramp::router
