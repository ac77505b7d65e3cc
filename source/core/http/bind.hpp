#pragma once

#include <chrono>
#include <functional>

#include "http/codec.hpp"

namespace reedramp::http {

/// Calls `bind` again while the port is taken, for up to `longest`, and returns its last error. The
/// process that was killed before this one may still be ending, and a connection of another program
/// may have the port for a moment. Blocks the thread: for use while a process starts.
auto bind_when_free(
    const std::function<auto()->error_code>& bind, std::chrono::milliseconds longest) -> error_code;

} // namespace reedramp::http
