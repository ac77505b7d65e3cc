#include <atomic>

#include <boost/asio/read_until.hpp>

#include "fixture.hpp"

using namespace reedramp;
using namespace reedramp::http;
using namespace reedramp::http::testing;
using namespace std::chrono_literals;

namespace {

/// A server of raw bytes: for each connection in turn, the answers to its requests in turn.
/// After the last answer of a connection it closes.
class scripted_server {
public:
    using script = std::vector<std::vector<std::string>>;

    explicit scripted_server(script connections)
        : acceptor(this->context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          runner([this, connections = std::move(connections)] {
              for (const auto& answers : connections) {
                  this->serve(answers);
              }
          })
    {
    }

    ~scripted_server() { this->runner.join(); }

    scripted_server(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    auto operator=(const scripted_server&) -> scripted_server& = delete;
    auto operator=(scripted_server&&) -> scripted_server& = delete;

    [[nodiscard]] auto where() const -> endpoint
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    std::atomic<int> requests{0};

private:
    auto serve(const std::vector<std::string>& answers) -> void
    {
        auto socket = this->acceptor.accept();
        std::string input;
        boost::system::error_code ended;
        for (const auto& answer : answers) {
            const auto size = boost::asio::read_until(
                socket, boost::asio::dynamic_buffer(input), "\r\n\r\n", ended);
            if (ended) {
                return;
            }
            input.erase(0, size);
            this->requests += 1;
            boost::asio::write(socket, boost::asio::buffer(answer), ended);
        }
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread runner;
};

/// Answers one request with a header and then a byte of the body every 20 ms, until the client
/// closes.
class trickling_server {
public:
    trickling_server()
        : acceptor(this->context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          runner([this] { this->serve(); })
    {
    }

    ~trickling_server() { this->runner.join(); }

    trickling_server(const trickling_server&) = delete;
    trickling_server(trickling_server&&) = delete;
    auto operator=(const trickling_server&) -> trickling_server& = delete;
    auto operator=(trickling_server&&) -> trickling_server& = delete;

    [[nodiscard]] auto where() const -> endpoint
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

private:
    auto serve() -> void
    {
        constexpr int most_bytes = 500;
        auto socket = this->acceptor.accept();
        boost::system::error_code ended;
        boost::asio::write(
            socket, boost::asio::buffer(std::string{"HTTP/1.1 200 OK\r\n\r\n"}), ended);
        for (int i = 0; i < most_bytes && !ended; ++i) {
            std::this_thread::sleep_for(20ms);
            boost::asio::write(socket, boost::asio::buffer("x", 1), ended);
        }
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread runner;
};

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct answer_row {
    std::string name;
    std::string bytes;
    /// Empty when the call has to fail.
    std::optional<std::string> body;
    common::result_code code = common::result_code::ok;
};

} // namespace

// What the caller of the client sees: a whole answer, or an error that says that the request may
// have run, since its bytes were on their way. A broken answer must never pass for a whole one.
TEST_CASE("an answer is whole or an error")
{
    using common::result_code;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto rows = std::vector<answer_row>{
        {"by length", whole, "ok"},
        {"by chunks", chunked + "1\r\no\r\n1\r\nk\r\n0\r\n\r\n", "ok"},
        {"by close", "HTTP/1.1 200 OK\r\n\r\nok", "ok"},
        {"after an interim one",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n" + whole,
         "ok"},
        {"no body", "HTTP/1.1 204 No Content\r\n\r\n", ""},
        {"nothing", "", std::nullopt, result_code::server_lost},
        {"interim one alone",
         "HTTP/1.1 100 Continue\r\n\r\n",
         std::nullopt,
         result_code::server_lost},
        {"half a header", "HTTP/1.1 200 OK\r\nCont", std::nullopt, result_code::server_lost},
        {"no HTTP", "nonsense\r\n\r\n", std::nullopt, result_code::server_lost},
        {"short by length",
         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
         std::nullopt,
         result_code::stream_broken},
        {"no last chunk", chunked + "2\r\nok\r\n", std::nullopt, result_code::stream_broken},
        {"bad chunk", chunked + "zz\r\n", std::nullopt, result_code::server_lost},
        {"too large",
         "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x'),
         std::nullopt,
         result_code::server_lost},
    };
    loop client_loop;
    client_options options;
    options.body_limit_bytes = 100;
    const auto with = client::create(client_loop.context, options);
    for (const auto& row : rows) {
        INFO(row.name);
        const scripted_server serving{{{row.bytes}}};
        const auto answer = fetch(*with, serving.where(), get("/"));
        REQUIRE(answer.has_value() == row.body.has_value());
        if (row.body) {
            CHECK(answer->body == *row.body);
        }
        else {
            CHECK(answer.error().code == row.code);
            CHECK(answer.error().run == common::execution::unknown);
        }
    }
}

// Guards against a server that fills the entry's memory, or keeps a call for ever, with bytes that
// are no answer. Each row ends as a whole answer, so that only a bound can end its call.
TEST_CASE("bytes without end that are no answer end the call", "[endless]")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string many(1UL << 20U, 'x');
    std::string interim;
    std::string trailers;
    for (int i = 0; i < 2000; ++i) {
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
        trailers += "X-Trailer: " + std::string(100, 'x') + "\r\n";
    }
    const auto rows = std::vector<answer_row>{
        {"status line", "HTTP/1.1 200 " + many + "\r\n\r\n", std::nullopt},
        {"header", "HTTP/1.1 200 OK\r\nX: " + many + "\r\n\r\n", std::nullopt},
        {"interim answers", interim + whole, std::nullopt},
        {"chunk line", chunked + "2;x=" + many + "\r\nok\r\n0\r\n\r\n", std::nullopt},
        {"trailers", chunked + "2\r\nok\r\n0\r\n" + trailers + "\r\n", std::nullopt},
        {"length",
         "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n\r\n" + many,
         std::nullopt},
        {"no length", "HTTP/1.1 200 OK\r\n\r\n" + many, std::nullopt},
    };
    loop client_loop;
    client_options options;
    options.body_limit_bytes = 100;
    const auto with = client::create(client_loop.context, options);
    for (const auto& row : rows) {
        INFO(row.name);
        const scripted_server serving{{{row.bytes}}};
        const auto answer = fetch(*with, serving.where(), get("/"));
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().run == common::execution::unknown);
    }
}

// Guards against an answer that keeps its reader for ever because a byte of it comes now and then.
TEST_CASE("a whole answer that trickles is given up", "[endless]")
{
    loop client_loop;
    client_options options;
    options.idle_timeout = 200ms;
    options.answer_time = 400ms;
    const auto with = client::create(client_loop.context, options);
    trickling_server serving;
    const auto began = std::chrono::steady_clock::now();
    const auto answer = fetch(*with, serving.where(), get("/"));
    REQUIRE_FALSE(answer.has_value());
    CHECK(std::chrono::steady_clock::now() - began < 5s);
}

// What happens: the server closes a kept connection after its answer. The client sees the end
// before it writes, and takes a new connection; nothing of the second request was sent twice.
TEST_CASE("a kept connection that was closed is not used again")
{
    loop client_loop;
    const auto with = client::create(client_loop.context, {});
    const scripted_server serving{{{whole}, {whole, whole}}};
    for (int turn = 0; turn < 3; turn += 1) {
        const auto answer = fetch(*with, serving.where(), get("/"));
        // The end of a connection may still be on its way when the next request is written. Then
        // the client must say that it does not know, and not try again.
        const bool sure = answer || answer.error().run == common::execution::unknown;
        CHECK(sure);
        if (turn == 0) {
            CHECK(answer);
        }
    }
}

// What the caller sees: `unknown`, once. The server read the request and closed without an answer;
// had the client sent it again on a new connection, it would have run twice.
TEST_CASE("a request that was written is never sent again")
{
    loop client_loop;
    const auto with = client::create(client_loop.context, {});
    const scripted_server serving{{{whole, ""}}};
    CHECK(fetch(*with, serving.where(), get("/")));
    const auto second = fetch(*with, serving.where(), get("/"));
    REQUIRE_FALSE(second);
    CHECK(second.error().code == common::result_code::server_lost);
    CHECK(second.error().run == common::execution::unknown);
    CHECK(serving.requests == 2);
}

TEST_CASE("without a connection nothing was run")
{
    loop client_loop;
    const auto with = client::create(client_loop.context, {});
    std::uint16_t closed_port = 0;
    {
        loop server_loop;
        closed_port = open_server({&server_loop.context}, {})->port();
    }
    for (const auto& where : {endpoint{"127.0.0.1", closed_port}, endpoint{"nonsense", 1}}) {
        const auto answer = fetch(*with, where, get("/"));
        REQUIRE_FALSE(answer);
        CHECK(answer.error().code == common::result_code::peer_unavailable);
        CHECK(answer.error().run == common::execution::not_run);
    }
}

TEST_CASE("a silent server is given up after the idle time")
{
    loop client_loop;
    loop server_loop;
    client_options options;
    options.idle_timeout = 50ms;
    std::shared_ptr<responder> held;
    const auto serving = open_server(
        {&server_loop.context},
        [&held](const request&, std::shared_ptr<responder> out) { held = std::move(out); });
    const auto answer =
        fetch(*client::create(client_loop.context, options), address_of(*serving), get("/"));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().run == common::execution::unknown);
}

// What happens: the reader cancels a stream in its middle. It gets `cancelled` once and no further
// piece, and the server's side learns that nobody listens any more.
TEST_CASE("a cancelled call ends at both sides")
{
    loop client_loop;
    loop server_loop;
    std::promise<void> left;
    const auto serving = open_server(
        {&server_loop.context}, [&left](const request&, const std::shared_ptr<responder>& out) {
            out->start({});
            out->write("first");
            // The responder lives on in its own action; dropped, it would end the stream.
            out->on_disconnect([&left, out] { left.set_value(); });
        });
    const auto with = client::create(client_loop.context, {});
    std::promise<void> first;
    std::promise<common::result<response>> done;
    std::atomic<int> pieces{0};
    call_events events;
    events.on_chunk = [&first, &pieces](const std::string&) {
        if (pieces.fetch_add(1) == 0) {
            first.set_value();
        }
    };
    events.on_done = [&done](common::result<response> answer) {
        done.set_value(std::move(answer));
    };
    const auto running = with->send(address_of(*serving), get("/"), events);
    first.get_future().get();
    running->cancel();
    running->cancel();
    const auto answer = done.get_future().get();
    REQUIRE_FALSE(answer);
    CHECK(answer.error().code == common::result_code::cancelled);
    CHECK(left.get_future().wait_for(10s) == std::future_status::ready);
    CHECK(pieces == 1);
}

// What happens: the reader of a large stream pauses after the first piece. Its memory must not grow
// by what the server could send: the server's backlog stays, until the reader resumes and gets all.
TEST_CASE("a paused call holds the server back, and loses nothing")
{
    constexpr std::size_t total = 64UL * 1024UL * 1024UL;
    loop client_loop;
    loop server_loop;
    std::promise<std::shared_ptr<responder>> begun;
    const auto serving = open_server(
        {&server_loop.context}, [&begun](const request&, const std::shared_ptr<responder>& out) {
            out->start({});
            out->write(std::string(total, 'x'));
            out->finish();
            begun.set_value(out);
        });
    const auto with = client::create(client_loop.context, {});
    std::atomic<std::size_t> got{0};
    std::promise<void> paused;
    std::promise<common::result<response>> done;
    std::shared_ptr<call> running;
    std::promise<void> handle_is_set;
    auto handle = handle_is_set.get_future().share();
    call_events events;
    events.on_chunk = [&](const std::string& piece) {
        handle.wait();
        const bool is_first = got.fetch_add(piece.size()) == 0;
        if (is_first) {
            running->pause();
            paused.set_value();
        }
    };
    events.on_done = [&done](common::result<response> answer) {
        done.set_value(std::move(answer));
    };
    running = with->send(address_of(*serving), get("/"), events);
    handle_is_set.set_value();
    paused.get_future().get();
    const auto out = begun.get_future().get();
    const auto answer = done.get_future();
    CHECK(answer.wait_for(50ms) == std::future_status::timeout);
    CHECK(got <= 64UL * 1024UL);
    CHECK(out->backlog() > 0);
    running->resume();
    CHECK(answer.wait_for(20s) == std::future_status::ready);
    CHECK(got == total);
}

// Guards against a call that is used after its own `on_sent` has cancelled it, as the bound on held
// bytes may do.
TEST_CASE("a call can be cancelled when its request is reported as sent")
{
    loop client_loop;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor{
        context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    const auto with = client::create(client_loop.context, {});
    std::promise<std::shared_ptr<call>> started;
    std::promise<common::result<response>> ended;
    call_events events;
    events.on_sent = [running = started.get_future().share()] {
        running.get()->cancel();
    };
    events.on_done = [&ended](common::result<response> answer) {
        ended.set_value(std::move(answer));
    };
    started.set_value(
        with->send({"127.0.0.1", acceptor.local_endpoint().port()}, post("/", "x"), events));
    auto answer = ended.get_future();
    REQUIRE(answer.wait_for(10s) == std::future_status::ready);
    const auto got = answer.get();
    REQUIRE_FALSE(got);
    CHECK(got.error().code == common::result_code::cancelled);
    CHECK(got.error().run == common::execution::unknown);
}

// Guards against a body that counts as sent while the client still holds it, since the server does
// not read.
TEST_CASE("a request is reported as sent when the system has taken all of it")
{
    loop client_loop;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor{
        context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    const auto with = client::create(client_loop.context, {});
    std::promise<void> sent;
    auto was_sent = sent.get_future();
    call_events events;
    events.on_sent = [&sent] {
        sent.set_value();
    };
    events.on_done = [](const common::result<response>&) {
    };
    constexpr std::size_t body_size = 64UL * 1024UL * 1024UL;
    const auto running = with->send(
        {"127.0.0.1", acceptor.local_endpoint().port()},
        post("/", std::string(body_size, 'x')),
        events);
    auto socket = acceptor.accept();
    CHECK(was_sent.wait_for(100ms) == std::future_status::timeout);
    std::string bytes(1024UL * 1024UL, ' ');
    boost::system::error_code ended;
    // What is left then is shorter than the request's head and fits into the socket's buffers.
    for (std::size_t received = 0; received < body_size && !ended;) {
        received += socket.read_some(boost::asio::buffer(bytes), ended);
    }
    CHECK_FALSE(ended);
    CHECK(was_sent.wait_for(10s) == std::future_status::ready);
    running->cancel();
}

TEST_CASE("calls from several threads to several loops are each answered")
{
    loop client_loop;
    loop first;
    loop second;
    const auto serving = open_server(
        {&first.context, &second.context},
        [](request asked, const std::shared_ptr<responder>& out) {
            out->send({200, {}, std::move(asked.body)});
        });
    const auto with = client::create(client_loop.context, {});
    std::atomic<int> right{0};
    std::vector<std::thread> callers;
    for (int number = 0; number < 4; number += 1) {
        callers.emplace_back([&, number] {
            for (int turn = 0; turn < 50; turn += 1) {
                const auto text = std::to_string(number) + ":" + std::to_string(turn);
                const auto answer = fetch(*with, address_of(*serving), post("/", text));
                right += answer && answer->body == text ? 1 : 0;
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(right == 200);
    CHECK(serving->open_connections() <= 4);
}

TEST_CASE("a connection that its server soon closes is not kept")
{
    // The server names a second as its idle limit, in whole seconds, and may count it from earlier.
    // A request that is written while the server closes has an unknown outcome.
    loop network;
    const std::string named =
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok";
    const std::string unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    scripted_server server{{{named}, {unnamed, unnamed}}};
    const auto with = client::create(network.context, {});
    for (int i = 0; i < 3; ++i) {
        const auto answer = fetch(*with, server.where(), get("/"));
        REQUIRE(answer);
        CHECK(answer->body == "ok");
    }
    CHECK(server.requests == 3);
}
