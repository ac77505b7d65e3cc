#include "http/connection_check.hpp"

#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace reedramp::http {

namespace asio = boost::asio;
using boost::system::error_code;

auto check_connection(
    asio::io_context& context,
    const endpoint& where,
    std::chrono::milliseconds limit,
    std::function<auto(bool listens)->void> done) -> void
{
    error_code problem;
    const auto address = asio::ip::make_address(where.address, problem);
    if (problem) {
        asio::post(context, [done = std::move(done)] { done(false); });
        return;
    }
    const auto socket = std::make_shared<asio::ip::tcp::socket>(context);
    const auto timer = std::make_shared<asio::steady_timer>(context, limit);
    timer->async_wait([socket](error_code stopped) {
        if (!stopped) {
            error_code ignored;
            socket->close(ignored);
        }
    });
    socket->async_connect(
        {address, where.port}, [socket, timer, done = std::move(done)](error_code failed) {
            timer->cancel();
            done(!failed);
        });
}

} // namespace reedramp::http
