#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "fixture.hpp"

using namespace reedramp;
using namespace reedramp::http;
using namespace reedramp::http::testing;
using namespace std::chrono_literals;

namespace {

constexpr auto answer_time = 20ms;

/// Answers each request with its target after a while, and notes what it handled.
class slow_handler {
public:
    explicit slow_handler(boost::asio::io_context& context_to_use) : context(context_to_use) {}

    auto operator()(const request& asked, std::shared_ptr<responder> out) -> void
    {
        {
            const std::lock_guard guard(this->lock);
            this->targets.push_back(asked.target + asked.body);
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(this->context, answer_time);
        timer->async_wait([timer, out, target = asked.target](boost::system::error_code) {
            out->send({200, {}, "[" + target + "]"});
        });
    }

    auto handled() -> std::vector<std::string>
    {
        const std::lock_guard guard(this->lock);
        return this->targets;
    }

private:
    boost::asio::io_context& context;
    std::mutex lock;
    std::vector<std::string> targets;
};

auto post_text(const std::string& target, const std::string& body) -> std::string
{
    return "POST " + target +
           " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

} // namespace

// Guards against handling a request twice, and losing the one after it, when the first of them
// comes while an answer is made.
TEST_CASE("each pipelined request is handled once, whenever the next one comes", "[pipelining]")
{
    loop on;
    slow_handler handler{on.context};
    const auto serving = open_server(
        {&on.context}, [&handler](const request& asked, std::shared_ptr<responder> out) {
            handler(asked, std::move(out));
        });
    raw_caller caller{address_of(*serving)};
    std::vector<std::string> sent;
    const auto send = [&](const std::string& target, const std::string& body = "") {
        sent.push_back(target + body);
        caller.send(post_text(target, body));
    };
    for (int round = 0; round < 5; ++round) {
        const auto name = "/" + std::to_string(round);
        send(name + "/first");
        std::this_thread::sleep_for(answer_time / 4);
        send(name + "/second");
        // Of the same size, longer and shorter ones, after the first answer.
        caller.read_until("/first]");
        send(name + "/thirds", std::string(static_cast<std::size_t>(round) * 100, 'x'));
        caller.read_until("/second]");
        caller.read_until("/thirds]");
    }
    CHECK(handler.handled() == sent);
}

// Guards against the same for a request that comes in two pieces, of which the first one waits.
TEST_CASE(
    "a pipelined request that comes in pieces is handled once, as it was sent", "[pipelining]")
{
    loop on;
    slow_handler handler{on.context};
    const auto serving = open_server(
        {&on.context}, [&handler](const request& asked, std::shared_ptr<responder> out) {
            handler(asked, std::move(out));
        });
    const auto second = post_text("/second", "a body in two pieces");
    std::vector<std::string> expected;
    for (std::size_t size = 1; size < second.size(); size += 5) {
        raw_caller caller{address_of(*serving)};
        caller.send(post_text("/first", ""));
        std::this_thread::sleep_for(answer_time / 4);
        caller.send(second.substr(0, size));
        caller.read_until("[/first]");
        std::this_thread::sleep_for(answer_time / 4);
        caller.send(second.substr(size));
        caller.read_until("[/second]");
        expected.insert(expected.end(), {"/first", "/seconda body in two pieces"});
    }
    CHECK(handler.handled() == expected);
}
