#include <atomic>
#include <future>

#include <boost/asio/read_until.hpp>

#include "fixture.hpp"

using namespace reedramp;
using namespace reedramp::http;
using namespace reedramp::http::testing;

namespace {

auto answer_with(const std::string& body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends a second answer to the first request, apart from the first answer. What is asked on a
/// second connection is answered with "own".
class repeating_server {
public:
    repeating_server()
        : acceptor(this->context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          runner([this] { this->serve(); })
    {
    }

    ~repeating_server() { this->runner.join(); }

    repeating_server(const repeating_server&) = delete;
    repeating_server(repeating_server&&) = delete;
    auto operator=(const repeating_server&) -> repeating_server& = delete;
    auto operator=(repeating_server&&) -> repeating_server& = delete;

    [[nodiscard]] auto where() const -> endpoint
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    std::promise<void> may_repeat;
    std::promise<void> has_repeated;

private:
    static auto read_head(boost::asio::ip::tcp::socket& from) -> bool
    {
        std::string input;
        boost::system::error_code ended;
        boost::asio::read_until(from, boost::asio::dynamic_buffer(input), "\r\n\r\n", ended);
        return !ended;
    }

    auto serve() -> void
    {
        auto first = this->acceptor.accept();
        read_head(first);
        boost::asio::write(first, boost::asio::buffer(answer_with("first")));
        this->may_repeat.get_future().wait();
        boost::asio::write(first, boost::asio::buffer(answer_with("repeated")));
        this->has_repeated.set_value();
        if (read_head(first)) {
            return; // The second request came here; its caller takes what was repeated.
        }
        auto second = this->acceptor.accept();
        read_head(second);
        boost::asio::write(second, boost::asio::buffer(answer_with("own")));
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread runner;
};

} // namespace

// Guards against taking bytes for the answer to a request that was sent after they had come.
TEST_CASE("an answer that came before its request is not given to it", "[unrequested]")
{
    repeating_server server;
    loop on;
    std::atomic<int> unrequested{0};
    const auto caller =
        client::create(on.context, {}, {.on_unrequested_bytes = [&unrequested](const endpoint&) {
                           unrequested += 1;
                       }});
    std::promise<std::string> second_body;
    call_events first;
    // The loop is busy while the second answer arrives.
    first.on_head = [&server](const response&) {
        server.may_repeat.set_value();
        server.has_repeated.get_future().wait();
    };
    first.on_done = [&](const common::result<response>&) {
        caller->send(server.where(), get("/2"), {.on_done = [&](const auto& answer) {
                         second_body.set_value(answer ? answer->body : answer.error().detail);
                     }});
    };
    caller->send(server.where(), get("/1"), std::move(first));
    CHECK(second_body.get_future().get() == "own");
    CHECK(unrequested == 1);
}
