#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/read_until.hpp>

#include "fixture.hpp"

using namespace reedramp;
using namespace reedramp::http;
using namespace reedramp::http::testing;
using namespace std::chrono_literals;

namespace {

/// What a server does with one connection: it answers the first request whole if the connection is
/// to be kept, and sends only a part of its answer to the next one, in one write or in two.
struct broken_answer {
    bool is_kept = false;
    std::string part;
    std::size_t first_write = 0;
};

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Plays one connection after the other.
class breaking_server {
public:
    explicit breaking_server(std::vector<broken_answer> plays)
        : acceptor(this->context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          runner([this, plays = std::move(plays)] {
              for (const auto& one : plays) {
                  this->play(one);
              }
          })
    {
    }

    ~breaking_server() { this->runner.join(); }

    breaking_server(const breaking_server&) = delete;
    breaking_server(breaking_server&&) = delete;
    auto operator=(const breaking_server&) -> breaking_server& = delete;
    auto operator=(breaking_server&&) -> breaking_server& = delete;

    [[nodiscard]] auto where() const -> endpoint
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

private:
    static auto read_request(boost::asio::ip::tcp::socket& from) -> void
    {
        std::string input;
        boost::system::error_code ignored;
        boost::asio::read_until(from, boost::asio::dynamic_buffer(input), "\r\n\r\n", ignored);
    }

    auto play(const broken_answer& one) -> void
    {
        auto socket = this->acceptor.accept();
        boost::system::error_code ignored;
        if (one.is_kept) {
            read_request(socket);
            boost::asio::write(socket, boost::asio::buffer(whole), ignored);
        }
        read_request(socket);
        const auto first = one.part.substr(0, one.first_write);
        boost::asio::write(socket, boost::asio::buffer(first), ignored);
        if (first.size() < one.part.size()) {
            std::this_thread::sleep_for(1ms);
            const auto rest = one.part.substr(first.size());
            boost::asio::write(socket, boost::asio::buffer(rest), ignored);
        }
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread runner;
};

struct framed_answer {
    std::string name;
    std::string head;
    std::string body;
    bool ends_by_close = false;
};

auto framed_answers() -> std::vector<framed_answer>
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    return {
        {"by length", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 13\r\n\r\n", "the whole one"},
        {"by chunks",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n",
         "8\r\nthe whol\r\n5\r\ne one\r\n0\r\n\r\n"},
        {"by close", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", "the whole one", true},
        {"after an interim answer",
         interim + "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n",
         "the whole one"},
        {"by close, after an interim answer",
         interim + "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
         "",
         true},
    };
}

/// All ways in which `from` can break off: at each byte, on a new and a kept connection, in one
/// write and in two.
auto breaks_of(const framed_answer& from) -> std::vector<broken_answer>
{
    std::vector<broken_answer> plays;
    const auto answer = from.head + (from.ends_by_close ? "" : from.body);
    for (std::size_t size = 0; size < answer.size(); ++size) {
        for (const bool is_kept : {false, true}) {
            plays.push_back({is_kept, answer.substr(0, size), size});
            plays.push_back({is_kept, answer.substr(0, size), size / 2});
        }
    }
    return plays;
}

} // namespace

// Guards against a short answer that passes for a whole one, since its head or its body broke off
// and the server closed in good order.
TEST_CASE("an answer that breaks off at any byte is an error", "[broken_head]")
{
    loop on;
    const auto with = client::create(on.context, {});
    for (const auto& answer : framed_answers()) {
        const auto plays = breaks_of(answer);
        const breaking_server serving{plays};
        for (const auto& one : plays) {
            INFO(answer.name << (one.is_kept ? " kept " : " new ") << one.part);
            if (one.is_kept) {
                REQUIRE(fetch(*with, serving.where(), get("/first")));
            }
            const auto got = fetch(*with, serving.where(), get("/second"));
            REQUIRE_FALSE(got);
            CHECK(got.error().run == common::execution::unknown);
        }
    }
}
