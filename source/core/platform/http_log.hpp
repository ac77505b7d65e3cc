#pragma once

#include <memory>

#include "http/client.hpp"
#include "http/message.hpp"
#include "platform/hooks.hpp"

namespace reedramp::platform {

/// The platform's log over HTTP: `POST /log/<stream>/append` and `GET /log/<stream>/read`.
///
/// The client's idle timeout bounds a call on which the log stays silent; give the log a client of
/// its own with a timeout of a few seconds. A long poll asks for at most half of `longest_wait`, so
/// that it ends before that timeout.
struct http_log_options {
    http::endpoint where;
    /// The idle timeout of the client that is passed with these options.
    std::chrono::milliseconds longest_wait{10000};
    /// Records asked for in one read.
    std::size_t read_limit = 500;
};

/// Hooks that may be called from any thread. Their answers come on the client's io_context.
///
/// `append` errors: `log_unavailable` when no byte was sent or the log said that it has refused
/// (any 4xx, or 503), else `append_unknown`. `read` errors: `log_trimmed` or `log_unavailable`.
auto make_http_log(std::shared_ptr<http::client> client, http_log_options options) -> log_hooks;

} // namespace reedramp::platform
