#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 by Boost.Beast, behind types that need no Beast header. The decision libraries never
/// include Beast; only this library's .cpp files do.
namespace reedramp::http {

struct header {
    std::string name;
    std::string value;
};

/// Whether two names of headers are the same; their case does not count.
auto same_name(std::string_view left, std::string_view right) -> bool;

/// First value of the header `name` (compared without case), if there is one.
auto find_header(const std::vector<header>& headers, std::string_view name)
    -> std::optional<std::string_view>;

struct request {
    std::string method;
    /// Path with query, as sent.
    std::string target;
    std::vector<header> headers;
    std::string body;
    /// IP number and port of the sender; only set by the server.
    std::string peer;
};

struct response {
    std::uint16_t status = 200;
    std::vector<header> headers;
    std::string body;
    /// The body had neither a length nor chunks: the end of the connection was its end.
    bool ended_by_close = false;
};

/// An IP number (v4 or v6) and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    // The linter takes the 0 that the compiler compares with for a null pointer.
    auto operator<=>(const endpoint&) const = default; // NOLINT(modernize-use-nullptr)
};

/// "127.0.0.1:8080", "[::1]:8080".
auto to_string(const endpoint& where) -> std::string;
auto parse_endpoint(std::string_view text) -> std::optional<endpoint>;

} // namespace reedramp::http
