#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/read_until.hpp>

#include "fixture.hpp"

using namespace reedramp;
using namespace reedramp::http;
using namespace reedramp::http::testing;
using namespace std::chrono_literals;

namespace {

using raw_socket = boost::asio::ip::tcp::socket;

/// Plays each connection as the test says, once it has read the head of a request.
class raw_server {
public:
    raw_server(std::size_t connections, std::function<auto(raw_socket&)->void> play)
        : acceptor(this->context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          runner([this, connections, play = std::move(play)] {
              for (std::size_t i = 0; i < connections; ++i) {
                  auto socket = this->acceptor.accept();
                  std::string input;
                  boost::system::error_code ignored;
                  boost::asio::read_until(
                      socket, boost::asio::dynamic_buffer(input), "\r\n\r\n", ignored);
                  play(socket);
              }
          })
    {
    }

    ~raw_server() { this->runner.join(); }

    raw_server(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    auto operator=(const raw_server&) -> raw_server& = delete;
    auto operator=(raw_server&&) -> raw_server& = delete;

    [[nodiscard]] auto where() const -> endpoint
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread runner;
};

auto write_text(raw_socket& to, const std::string& text) -> void
{
    boost::system::error_code ignored;
    boost::asio::write(to, boost::asio::buffer(text), ignored);
}

/// More than the buffers of both sockets hold.
constexpr std::size_t long_upload = 32UL * 1024UL * 1024UL;

/// Long enough for the client to read what was sent.
constexpr auto read_time = 50ms;

} // namespace

// Guards against the first part of an answer that passes for a whole one: the reset of its
// connection shows at the write of the request that is still being sent, and to the read it looks
// like an end.
TEST_CASE("an answer without a length is not whole if its connection was reset", "[odd_answer]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n";
    for (const std::string part : {"", "the first part"}) {
        for (const auto& pause : {read_time, 0ms}) {
            const raw_server serving{1, [&](raw_socket& socket) {
                                         write_text(socket, head + part);
                                         std::this_thread::sleep_for(pause);
                                         socket.set_option(
                                             boost::asio::socket_base::linger(true, 0));
                                     }};
            loop on;
            const auto with = client::create(on.context, {});
            const auto got =
                fetch(*with, serving.where(), post("/upload", std::string(long_upload, 'u')));
            INFO("part " << part << " pause " << pause.count());
            REQUIRE_FALSE(got);
            CHECK(got.error().run == common::execution::unknown);
        }
    }
}

TEST_CASE(
    "an early answer without a length is whole if its request was sent to the end", "[odd_answer]")
{
    const raw_server serving{1, [](raw_socket& socket) {
                                 write_text(socket, "HTTP/1.1 200 OK\r\n\r\nwhole");
                                 socket.shutdown(raw_socket::shutdown_send);
                                 std::string rest;
                                 boost::system::error_code ended;
                                 boost::asio::read(
                                     socket,
                                     boost::asio::dynamic_buffer(rest),
                                     boost::asio::transfer_exactly(long_upload),
                                     ended);
                             }};
    loop on;
    const auto with = client::create(on.context, {});
    const auto got = fetch(*with, serving.where(), post("/upload", std::string(long_upload, 'u')));
    REQUIRE(got);
    CHECK(got->body == "whole");
}

