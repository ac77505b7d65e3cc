#pragma once

#include <cstdint>
#include <string_view>

#include "http/message.hpp"
#include "router/header_names.hpp"

namespace reedramp::router {

/// Whose attempt id a response repeats.
enum class echoed_attempt : std::uint8_t { own, other, none };

auto to_string(echoed_attempt echoed) -> std::string_view;

/// What the head of a response says about the attempt that it came for.
enum class verdict : std::uint8_t {
    /// No head has been received yet.
    none,
    /// The server ran this attempt successfully.
    success,
    /// The server ran it and failed.
    server_failure,
    /// The server has not run it and never will.
    not_executed,
    /// The response can't be trusted.
    untrusted,
};

/// A verdict, and the evidence for it.
struct response_judgement {
    verdict what = verdict::none;
    echoed_attempt echoed = echoed_attempt::none;
    bool is_signed = false;
    /// Why the response is not trusted; empty if it is.
    std::string_view distrust;
};

/// Judges the head of the response that came for `attempt`.
///
/// A response speaks only for the attempt whose id it repeats: a server may send bytes that belong
/// to no request, or the response to another one late. A claim not to have executed the request
/// holds only with a status that says the same.
auto judge_head(const http::response& head, const header_names& names, std::string_view attempt)
    -> response_judgement;

} // namespace reedramp::router
