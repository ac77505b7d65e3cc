#pragma once

#include <memory>

#include "http/client.hpp"
#include "http/message.hpp"
#include "platform/hooks.hpp"

namespace reedramp::platform {

/// Options of the hooks for the platform's log over HTTP (`POST /log/<stream>/append` and
/// `GET /log/<stream>/read`).
///
/// The client's idle timeout limits calls that the log does not answer, so the log should have its
/// own client with a timeout of a few seconds. A long poll waits for at most half of that timeout,
/// so that it ends before.
struct http_log_options {
    http::endpoint where;
    /// The idle timeout of the client that is passed with these options.
    std::chrono::milliseconds client_idle_timeout{10000};
    /// Maximum number of records per read.
    std::size_t read_limit = 500;
};

/// The hooks may be called from any thread; answers are delivered on the client's io_context.
///
/// Errors of `append`: `log_unavailable` if no byte was sent or the log refused the record (any
/// 4xx, or 503), else `append_unknown`. Errors of `read`: `log_trimmed` or `log_unavailable`.
auto make_http_log(std::shared_ptr<http::client> client, http_log_options options) -> log_hooks;

} // namespace reedramp::platform
