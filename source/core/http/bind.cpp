#include "http/bind.hpp"

#include <thread>

#include <boost/asio/error.hpp>

namespace reedramp::http {

auto bind_when_free(
    const std::function<auto()->error_code>& bind, std::chrono::milliseconds longest) -> error_code
{
    constexpr std::chrono::milliseconds pause{20};
    const auto latest = std::chrono::steady_clock::now() + longest;
    auto problem = bind();
    while (problem == boost::asio::error::address_in_use &&
           std::chrono::steady_clock::now() < latest) {
        std::this_thread::sleep_for(pause);
        problem = bind();
    }
    return problem;
}

} // namespace reedramp::http
