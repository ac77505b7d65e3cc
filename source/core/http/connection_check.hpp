#pragma once

#include <chrono>
#include <functional>

#include "http/message.hpp"

namespace boost::asio {
class io_context;
}

namespace reedramp::http {

/// Opens a connection and closes it at once. `done` runs once, on the context's thread: whether
/// somebody listens there. Silence for `limit` counts as nobody.
auto check_connection(
    boost::asio::io_context& context,
    const endpoint& where,
    std::chrono::milliseconds limit,
    std::function<auto(bool listens)->void> done) -> void;

} // namespace reedramp::http
