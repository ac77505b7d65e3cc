#include <atomic>
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

/// What the client makes of `bytes`, which the server sends before it closes in good order.
auto answer_of(const std::string& bytes) -> common::result<response>
{
    const raw_server serving{1, [&bytes](raw_socket& socket) {
                                 write_text(socket, bytes);
                             }};
    loop on;
    const auto with = client::create(on.context, {});
    return fetch(*with, serving.where(), get("/"));
}

const std::string framed_rest = "\r\nContent-Length: 2\r\n\r\nok";

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

// Guards against an answer with a status that HTTP does not know: passed on, it gets another one on
// the way; taken for an interim answer, it is skipped and what comes next takes its place.
TEST_CASE("an answer whose status is none of HTTP's is an error", "[odd_answer]")
{
    const std::string next = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext";
    for (const std::string status : {"000", "001", "099", "101", "600", "700", "999"}) {
        INFO(status);
        CHECK_FALSE(answer_of("HTTP/1.1 " + status + " Odd" + framed_rest));
        CHECK_FALSE(answer_of("HTTP/1.1 " + status + " Odd\r\n\r\n" + next));
        CHECK_FALSE(answer_of("HTTP/1.1 " + status + " Odd\r\n\r\n"));
    }
    for (const std::string status : {"00", "0200", "2 0", "-20", "+20", "2x0", ""}) {
        INFO(status);
        CHECK_FALSE(answer_of("HTTP/1.1 " + status + " Odd" + framed_rest));
    }
    for (const std::string interim : {"100", "102", "103", "199"}) {
        INFO(interim);
        const auto got = answer_of("HTTP/1.1 " + interim + " Wait\r\n\r\n" + next);
        REQUIRE(got);
        CHECK(got->body == "next");
    }
    for (const std::string known : {"200", "299", "404", "500", "599"}) {
        CHECK(answer_of("HTTP/1.1 " + known + " Known" + framed_rest));
    }
}

// Guards against a field that readers of one answer take for different ones, or not for a field:
// the caller would get a line that is not the server's, or a body that ends where none should.
TEST_CASE("an answer with a malformed field name is an error", "[odd_answer]")
{
    using namespace std::string_literals;
    for (const auto& line :
         {"X Id: 1"s,
          "X-Id : 1"s,
          "X-Id\t: 1"s,
          " X-Id: 1"s,
          "\tX-Id: 1"s,
          "X-\x01Id: 1"s,
          "X-\0Id: 1"s,
          "X-Id\x7f: 1"s,
          "X-\x1fId: 1"s,
          "X-Id\r: 1"s,
          "X-\xe9: 1"s,
          "X(Id): 1"s,
          "X-Id"s,
          ": 1"s,
          "Content-Length : 1"s,
          "Content Length: 1"s,
          "Transfer-Encoding : chunked"s}) {
        INFO(line);
        CHECK_FALSE(answer_of("HTTP/1.1 200 OK\r\n" + line + framed_rest));
        CHECK_FALSE(answer_of("HTTP/1.1 200 OK\r\nX-Before: 1\r\n" + line + framed_rest));
        CHECK_FALSE(answer_of("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nby close"));
        CHECK_FALSE(answer_of(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line +
            "\r\n\r\n"));
    }
}

// Guards against a field's value that ends the line for one reader and goes on for another.
TEST_CASE("an answer with a control byte in a field's value is an error", "[odd_answer]")
{
    using namespace std::string_literals;
    for (const auto& value : {"1\x01"s, "1\0 2"s, "\x7f"s, "1\r2"s, "1\n2"s, "\x0b"s}) {
        INFO(value);
        CHECK_FALSE(answer_of("HTTP/1.1 200 OK\r\nX-Id: " + value + framed_rest));
    }
}

// Guards against a folded line that is not seen, or seen in a body, since the answer comes in
// pieces.
TEST_CASE("a folded line is found wherever an answer's bytes are split", "[odd_answer]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n";
    const std::string body = "\r\n6\r\n\r\n \r\n\t\r\n0\r\n\r\n";
    for (const std::string fold : {"", " 2\r\n", "\t2\r\n"}) {
        const auto bytes = head + fold + body;
        loop on;
        std::atomic<std::size_t> first{0};
        const raw_server serving{bytes.size() + 1, [&](raw_socket& socket) {
                                     const std::size_t size = first;
                                     socket.set_option(boost::asio::ip::tcp::no_delay(true));
                                     write_text(socket, bytes.substr(0, size));
                                     std::this_thread::sleep_for(1ms);
                                     write_text(socket, bytes.substr(size));
                                 }};
        for (; first <= bytes.size(); ++first) {
            INFO("first write " << first << " of " << bytes);
            // A client that keeps the connection may send the next request before the server
            // closes.
            const auto with = client::create(on.context, {});
            const auto got = fetch(*with, serving.where(), get("/"));
            CHECK(got.has_value() == fold.empty());
        }
    }
}

// Guards against a body that is passed on with a coding that its reader is not told of.
TEST_CASE("an answer with another transfer coding than chunks is an error", "[odd_answer]")
{
    const std::string chunks = "\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    for (const std::string coding :
         {"gzip", "identity", "gzip, chunked", "chunked, gzip", "chunky"}) {
        INFO(coding);
        CHECK_FALSE(answer_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + chunks));
    }
    CHECK_FALSE(answer_of("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + chunks));
    CHECK(answer_of("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked" + chunks));
}
