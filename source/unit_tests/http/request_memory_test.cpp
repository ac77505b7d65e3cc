#include <atomic>
#include <chrono>
#include <string>

#include "fixture.hpp"
#include "http/request_memory.hpp"

using namespace reedramp;
using namespace reedramp::http;
using namespace reedramp::http::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t limit = 1'000'000;
constexpr std::size_t large = 400'000;

/// A server with room for a few requests, and callers that send the beginning of theirs.
class bounded_server {
public:
    bounded_server()
    {
        server_options options;
        options.request_memory_bytes = limit;
        options.on_memory_full = [this] {
            this->refusals += 1;
        };
        this->serving = open_server(
            {&this->on.context},
            [this](const request&, const std::shared_ptr<responder>& out) {
                this->handled += 1;
                out->send({200, {}, "ok"});
            },
            options);
    }

    [[nodiscard]] auto where() const -> endpoint { return address_of(*this->serving); }

    /// Waits until the server holds `bytes` of requests.
    [[nodiscard]] auto holds(std::size_t bytes) const -> bool
    {
        for (int i = 0; i < 1000 && this->serving->request_bytes() != bytes; ++i) {
            std::this_thread::sleep_for(2ms);
        }
        return this->serving->request_bytes() == bytes;
    }

    loop on;
    std::unique_ptr<server> serving;
    std::atomic<int> handled{0};
    std::atomic<int> refusals{0};
};

auto head_of(std::size_t body_size) -> std::string
{
    return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body_size) +
           "\r\n\r\n";
}

const std::string served = "HTTP/1.1 200 OK\r\n";
const std::string refused = "HTTP/1.1 503 Service Unavailable\r\n";

} // namespace

// Guards against a process that exceeds its memory since bodies that still arrive count nowhere.
TEST_CASE("uploads beyond the memory for requests are refused by their head", "[request_memory]")
{
    bounded_server one;
    raw_caller first(one.where());
    first.send(head_of(large) + "x");
    CHECK(one.holds(large));
    raw_caller second(one.where());
    second.send(head_of(large) + "x");
    // A quarter is left to small requests.
    CHECK(second.read_until("\r\n\r\n").starts_with(refused));
    raw_caller small(one.where());
    small.send(head_of(2) + "ok");
    CHECK(small.read_until("\r\n\r\n").starts_with(served));
    CHECK(one.holds(large));
    first.send(std::string(large - 1, 'x'));
    CHECK(first.read_until("\r\n\r\n").starts_with(served));
    CHECK(one.holds(0));
    CHECK(one.refusals == 1);
    CHECK(one.handled == 2);
}

// Guards against a refusal that its caller never reads, since the connection was reset under the
// upload.
TEST_CASE("a refused upload may be sent to its end", "[request_memory]")
{
    bounded_server one;
    raw_caller caller(one.where());
    caller.send(head_of(limit) + std::string(limit, 'x'));
    const auto answer = caller.read_until("\r\n\r\n");
    CHECK(answer.starts_with(refused));
    CHECK(answer.find("Retry-After: 1\r\n") != std::string::npos);
    CHECK(answer.find("Connection: close\r\n") != std::string::npos);
    CHECK(one.handled == 0);
}

TEST_CASE(
    "the memory of requests in chunks, and of those that break off, is bounded and freed",
    "[request_memory]")
{
    bounded_server one;
    raw_caller chunks(one.where());
    chunks.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    chunks.send("F4240\r\n" + std::string(limit, 'x'));
    CHECK(chunks.read_until("\r\n\r\n").starts_with(refused));
    CHECK(one.holds(0));
    {
        raw_caller gone(one.where());
        gone.send(head_of(large) + "x");
        CHECK(one.holds(large));
    }
    CHECK(one.holds(0));
}

TEST_CASE("a server without a bound refuses nothing", "[request_memory]")
{
    request_memory memory;
    memory.change(0, limit);
    CHECK(memory.has_room(0, limit));
    CHECK(memory.total() == limit);
}
