#include <atomic>

#include "fixture.hpp"

using namespace reedramp;
using namespace reedramp::http;
using namespace reedramp::http::testing;
using namespace std::chrono_literals;

namespace {

const std::string plain_get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/// Hands the responder of the one request to the test.
struct held_answer {
    std::promise<std::shared_ptr<responder>> promise;
    std::future<std::shared_ptr<responder>> out = this->promise.get_future();

    auto handler() -> request_handler
    {
        return [this](const request&, std::shared_ptr<responder> given) {
            this->promise.set_value(std::move(given));
        };
    }
};

} // namespace

// What the caller sees: nothing, it has left while its answer was being made. Its engine must not
// go on for nobody, so that the one who makes the answer is told, before anything is written.
TEST_CASE("a caller that leaves is noticed while its answer is made")
{
    loop server_loop;
    held_answer held;
    const auto serving = open_server({&server_loop.context}, held.handler());
    raw_caller caller{address_of(*serving)};
    caller.send(plain_get);
    const auto out = held.out.get();
    std::promise<void> left;
    out->on_disconnect([&left] { left.set_value(); });
    caller.close();
    CHECK(left.get_future().wait_for(10s) == std::future_status::ready);
}

// What the caller sees: its whole answer, though it has closed its sending side. The server tells
// this from a caller that left only by writing, so it reports the caller as gone and writes all the
// same.
TEST_CASE("a half-closed caller still gets its answer")
{
    loop server_loop;
    held_answer held;
    const auto serving = open_server({&server_loop.context}, held.handler());
    raw_caller caller{address_of(*serving)};
    caller.send(plain_get);
    caller.close_sending_side();
    const auto out = held.out.get();
    std::promise<void> left;
    out->on_disconnect([&left] { left.set_value(); });
    CHECK(left.get_future().wait_for(10s) == std::future_status::ready);
    out->send({200, {}, "whole"});
    CHECK(caller.read_to_end().ends_with("\r\n\r\nwhole"));
}

// Guards against an answer that stays in memory although its sender has dropped it: `abort` does
// nothing once the answer has been handed over whole.
TEST_CASE("an answer that was handed over whole can still be dropped")
{
    constexpr std::size_t total = 32UL * 1024UL * 1024UL;
    loop server_loop;
    held_answer held;
    const auto serving = open_server({&server_loop.context}, held.handler());
    raw_caller caller{address_of(*serving)};
    caller.send(plain_get);
    const auto out = held.out.get();
    out->send({200, {}, std::string(total, 'x')});
    std::promise<void> released;
    out->when_drained(1, [&released] { released.set_value(); });
    // The backlog is one piece until its last byte is taken, but what is taken of it is known.
    const auto until = std::chrono::steady_clock::now() + 10s;
    while (out->taken() == 0 && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(1ms);
    }
    CHECK(out->taken() > 0);
    CHECK(out->backlog() == total);
    out->drop_unsent();
    CHECK(released.get_future().wait_for(10s) == std::future_status::ready);
    CHECK(out->backlog() == 0);
    CHECK(caller.read_to_end().size() < total);
}

// What the caller sees: it reads nothing, then reads all. Meanwhile the source of the stream learns
// from the backlog that it has to stop, and goes on when the backlog has fallen; else each slow
// caller would hold its whole answer in memory.
TEST_CASE("a slow caller holds the source back, and loses nothing")
{
    loop server_loop;
    held_answer held;
    const auto serving = open_server({&server_loop.context}, held.handler());
    raw_caller caller{address_of(*serving)};
    caller.send("GET / HTTP/1.0\r\n\r\n");
    const auto out = held.out.get();
    out->start({});
    constexpr std::size_t high_water = 8UL * 1024UL * 1024UL;
    std::size_t sent = 0;
    while (out->backlog() < high_water) {
        out->write(std::string(65536, 'x'));
        sent += 65536;
    }
    std::promise<std::size_t> drained;
    out->when_drained(1000, [&drained, &out] { drained.set_value(out->backlog()); });
    auto rest = std::async(std::launch::async, [&caller] { return caller.read_to_end(); });
    CHECK(drained.get_future().get() < 1000);
    out->write("end");
    out->finish();
    const auto answer = rest.get();
    CHECK(answer.size() - answer.find("\r\n\r\n") - 4 == sent + 3);
    CHECK(answer.ends_with("xend"));
}

TEST_CASE("a caller that never reads is cut after the write timeout, and its source released")
{
    loop server_loop;
    held_answer held;
    server_options options;
    options.write_timeout = 100ms;
    const auto serving = open_server({&server_loop.context}, held.handler(), options);
    raw_caller caller{address_of(*serving)};
    caller.send(plain_get);
    const auto out = held.out.get();
    std::promise<void> left;
    std::promise<void> drained;
    out->on_disconnect([&left] { left.set_value(); });
    out->start({});
    out->write(std::string(64UL * 1024UL * 1024UL, 'x'));
    out->when_drained(1, [&drained] { drained.set_value(); });
    CHECK(left.get_future().wait_for(10s) == std::future_status::ready);
    CHECK(drained.get_future().wait_for(10s) == std::future_status::ready);
    CHECK(out->backlog() == 0);
}

TEST_CASE("an abort does not wait for a caller that reads nothing")
{
    loop server_loop;
    held_answer held;
    server_options options;
    options.write_timeout = 1h;
    const auto serving = open_server({&server_loop.context}, held.handler(), options);
    raw_caller caller{address_of(*serving)};
    caller.send(plain_get);
    const auto out = held.out.get();
    std::promise<void> left;
    out->start({});
    out->write(std::string(64UL * 1024UL * 1024UL, 'x'));
    caller.read_until("\r\n\r\n");
    out->when_drained(1, [&left] { left.set_value(); });
    out->abort();
    CHECK(left.get_future().wait_for(10s) == std::future_status::ready);
}

// What the caller sees: an answer without its last chunk (or, in HTTP/1.0, a reset), so that it
// cannot take a broken answer for a whole one.
TEST_CASE("an aborted answer looks broken, a dropped or failed one is an error")
{
    loop server_loop;
    const auto serving = open_server(
        {&server_loop.context}, [](const request& asked, const std::shared_ptr<responder>& out) {
            if (asked.target == "/throw") {
                throw std::runtime_error{"a defect"};
            }
            if (asked.target == "/drop") {
                return;
            }
            out->start({});
            out->write("begun");
            if (asked.target == "/abort") {
                out->abort();
            }
        });
    loop client_loop;
    const auto with = client::create(client_loop.context, {});
    for (const auto* target : {"/throw", "/drop"}) {
        const auto answer = fetch(*with, address_of(*serving), get(target));
        REQUIRE(answer);
        CHECK(answer->status == 500);
        CHECK(answer->body.find(R"("execution":"unknown")") != std::string::npos);
    }
    for (const auto* target : {"/abort", "/begin-and-drop"}) {
        const auto answer = fetch(*with, address_of(*serving), get(target));
        REQUIRE_FALSE(answer);
        CHECK(answer.error().run == common::execution::unknown);
    }
}

TEST_CASE("a connection beyond the limit is turned away, and one is free again after a close")
{
    loop server_loop;
    server_options options;
    options.connection_limit = 1;
    const auto serving = open_server(
        {&server_loop.context},
        [](const request&, const std::shared_ptr<responder>& out) { out->send({}); },
        options);
    raw_caller first{address_of(*serving)};
    first.send(plain_get);
    first.read_until("\r\n\r\n");
    raw_caller second{address_of(*serving)};
    CHECK(second.read_to_end().starts_with("HTTP/1.1 503 Service Unavailable\r\n"));
    first.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    first.read_to_end();
    first.close();
    while (serving->open_connections() > 0) {
        std::this_thread::yield();
    }
    raw_caller third{address_of(*serving)};
    third.send(plain_get);
    CHECK(third.read_until("\r\n\r\n").starts_with("HTTP/1.1 200"));
}

// What the caller sees during a graceful shutdown: the answer under way ends whole, a request that
// follows on a kept connection is answered too, with "Connection: close", and a new connection is
// refused. Nothing is cut.
TEST_CASE("a closed listener cuts no request")
{
    loop server_loop;
    held_answer held;
    std::atomic<int> number{0};
    const auto serving = open_server(
        {&server_loop.context},
        [&held, &number](const request& asked, std::shared_ptr<responder> out) {
            if (number.fetch_add(1) == 0) {
                held.handler()(asked, std::move(out));
                return;
            }
            out->send({200, {}, "second"});
        });
    raw_caller busy{address_of(*serving)};
    busy.send(plain_get);
    const auto out = held.out.get();
    raw_caller idle{address_of(*serving)};
    idle.send(plain_get);
    idle.read_until("second");
    serving->close_listener();
    idle.send(plain_get);
    const auto last = idle.read_to_end();
    // Its end comes after the server has counted its answer as done.
    CHECK(serving->busy_connections() == 1);
    CHECK(last.find("Connection: close\r\n") != std::string::npos);
    CHECK(last.ends_with("second"));
    out->send({200, {}, "first"});
    CHECK(busy.read_to_end().ends_with("first"));
    loop client_loop;
    const auto refused =
        fetch(*client::create(client_loop.context, {}), address_of(*serving), get("/"));
    REQUIRE_FALSE(refused);
    CHECK(refused.error().run == common::execution::not_run);
}

TEST_CASE("an idle connection closes after the read timeout, or soon after the listener")
{
    loop server_loop;
    server_options options;
    options.read_timeout = 50ms;
    const auto answer_all = [](const request&, const std::shared_ptr<responder>& out) {
        out->send({});
    };
    const auto quick = open_server({&server_loop.context}, answer_all, options);
    raw_caller caller{address_of(*quick)};
    caller.send(plain_get);
    caller.read_until("\r\n\r\n");
    CHECK(caller.read_to_end().empty());
    const auto closing = open_server({&server_loop.context}, answer_all);
    raw_caller other{address_of(*closing)};
    other.send(plain_get);
    other.read_until("\r\n\r\n");
    closing->close_listener();
    CHECK(other.read_to_end().empty());
}

TEST_CASE("a sender that waits for 100 Continue gets it before the body")
{
    loop server_loop;
    const auto serving = open_server(
        {&server_loop.context}, [](request asked, const std::shared_ptr<responder>& out) {
            out->send({200, {}, std::move(asked.body)});
        });
    raw_caller caller{address_of(*serving)};
    caller.send("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    CHECK(caller.read_until("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("body");
    CHECK(caller.read_until("body").starts_with("HTTP/1.1 200 OK\r\n"));
}

// What the caller sees: one answer with the headers of the server. A header whose value holds a
// line end, as a backend server or another caller may have chosen it, would else be read as further
// headers or as a second answer.
TEST_CASE("a header that could split the answer is left out")
{
    loop server_loop;
    const auto serving = open_server(
        {&server_loop.context}, [](const request&, const std::shared_ptr<responder>& out) {
            out->send(
                {200,
                 {{"Good", "1"},
                  {"Bad", "x\r\nInjected: 1"},
                  {"Bad\r\nInjected", "1"},
                  {"Content-Length", "999"},
                  {"Transfer-Encoding", "chunked"}},
                 "body"});
        });
    raw_caller caller{address_of(*serving)};
    caller.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CHECK(
        caller.read_to_end() ==
        "HTTP/1.1 200 OK\r\nGood: 1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody");
}

TEST_CASE("an address that cannot be listened on is a plain error")
{
    loop server_loop;
    const auto first = open_server({&server_loop.context}, {});
    for (const auto& where : {address_of(*first), endpoint{"nonsense", 0}}) {
        server_options options;
        options.listen = where;
        CHECK_FALSE(server::open({&server_loop.context}, options, {}));
    }
    server_options options;
    options.listen = {"127.0.0.1", 0};
    options.tls = tls_files{"/nowhere", "/nowhere"};
    CHECK_FALSE(server::open({&server_loop.context}, options, {}));
}

TEST_CASE("endpoints are IP numbers with a port")
{
    CHECK(parse_endpoint("127.0.0.1:80") == endpoint{"127.0.0.1", 80});
    CHECK(parse_endpoint("[::1]:65535") == endpoint{"::1", 65535});
    CHECK(to_string(endpoint{"::1", 7}) == "[::1]:7");
    for (const auto* bad :
         {"",
          ":80",
          "127.0.0.1",
          "127.0.0.1:",
          "127.0.0.1:65536",
          "host:80",
          "::1:80",
          "[127.0.0.1]:80",
          "127.0.0.1:8x"}) {
        INFO(bad);
        CHECK_FALSE(parse_endpoint(bad));
    }
}

TEST_CASE("a server that announces its close serves on, one request a connection")
{
    // The balancer goes on sending callers for some seconds after this process was told to leave.
    // Those on kept connections have to find another process for their next request.
    loop network;
    const auto serving =
        open_server({&network.context}, [](const request&, const std::shared_ptr<responder>& out) {
            out->send({200, {}, "ok"});
        });
    raw_caller before{address_of(*serving)};
    const std::string asked = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    before.send(asked);
    CHECK(before.read_until("ok").find("Connection: close") == std::string::npos);
    serving->announce_close();
    raw_caller after{address_of(*serving)};
    after.send(asked);
    CHECK(after.read_to_end().find("Connection: close") != std::string::npos);
    // The idle one is closed without an answer that nobody asked for.
    CHECK(before.read_to_end().empty());
}

TEST_CASE("limits may change while a server runs")
{
    // Operators allow smaller bodies; what is larger is refused from then on, also on connections
    // that were open before.
    loop network;
    const auto serving =
        open_server({&network.context}, [](const request&, const std::shared_ptr<responder>& out) {
            out->send({200, {}, "ok"});
        });
    raw_caller one{address_of(*serving)};
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n";
    one.send(head + std::string(20, 'x'));
    CHECK(one.read_until("ok").starts_with("HTTP/1.1 200"));
    std::promise<void> changed;
    boost::asio::post(network.context, [&] {
        serving->change_limits(16384, 10, std::chrono::seconds{5});
        changed.set_value();
    });
    changed.get_future().get();
    one.send(head + std::string(20, 'x'));
    CHECK(one.read_to_end().starts_with("HTTP/1.1 413"));
}

TEST_CASE("callers that come before a server accepts are served once it does")
{
    // A process that was killed starts anew, and all its callers come back at once, with their last
    // try. Answered before the process knows its rules, they would all be refused for good.
    loop network;
    server_options late;
    late.accepts_at_once = false;
    const auto serving = open_server(
        {&network.context},
        [](const request&, const std::shared_ptr<responder>& out) {
            out->send({200, {}, "ok"});
        },
        late);
    raw_caller early{address_of(*serving)};
    early.send(plain_get);
    std::promise<std::size_t> open_before;
    boost::asio::post(network.context, [&] {
        open_before.set_value(serving->open_connections());
        serving->accept();
        serving->accept(); // A second call takes no second connection at a time.
    });
    CHECK(open_before.get_future().get() == 0);
    CHECK(early.read_until("ok").starts_with("HTTP/1.1 200"));
}
