#include <algorithm>
#include <atomic>
#include <future>
#include <iostream>
#include <thread>

#include <netinet/tcp.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "daemon/clock.hpp"
#include "daemon/timer_queue.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "router_fixture.hpp"

/// The bound on the bytes held, with the real HTTP server and client over loopback.
namespace reedramp::router::testing {

namespace {

namespace asio = boost::asio;

constexpr std::size_t stopped_callers = 300;
constexpr int events_of_stream = 64;
constexpr std::size_t event_bytes = 16UL * 1024UL; // 64 events: 1 MB
constexpr std::size_t budget = 22'000'000;
/// Largest read of the HTTP client.
constexpr std::size_t one_read = 64UL * 1024UL;

/// One io_context on a thread of its own.
class loop {
public:
    loop() : guard(this->context.get_executor()), runner([this] { this->context.run(); }) {}

    ~loop() { this->stop(); }

    loop(const loop&) = delete;
    loop(loop&&) = delete;
    auto operator=(const loop&) -> loop& = delete;
    auto operator=(loop&&) -> loop& = delete;

    auto stop() -> void
    {
        this->context.stop();
        if (this->runner.joinable()) {
            this->runner.join();
        }
    }

    /// Runs `action` on the loop's thread and returns its result.
    template <typename Action>
    auto ask(Action action) -> decltype(action())
    {
        std::packaged_task<decltype(action())()> task{std::move(action)};
        auto result = task.get_future();
        asio::post(this->context, [&task] { task(); });
        return result.get();
    }

    asio::io_context context{1};

private:
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::thread runner;
};

auto open_server(loop& on, http::request_handler handler) -> std::unique_ptr<http::server>
{
    http::server_options options;
    options.listen = {"127.0.0.1", 0};
    auto opened = http::server::open({&on.context}, options, std::move(handler));
    REQUIRE(opened);
    return std::move(*opened);
}

auto event_of(int id, std::size_t bytes) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: " + std::string(bytes, 'x') + "\n\n";
}

/// Stand-in server: /stream/large is a stream of 1 MB that is sent at once, any other path one of
/// ten small events.
auto answer_as_server(const http::request& asked, const std::shared_ptr<http::responder>& out)
    -> void
{
    http::response head{200, {}, {}};
    for (const auto* copied : {"Reedramp-Attempt-Id"}) {
        head.headers.push_back(
            {copied, std::string{http::find_header(asked.headers, copied).value_or("")}});
    }
    head.headers.push_back({"Reedramp-Signature", "own"});
    head.headers.push_back({"Reedramp-Confidence", "100"});
    const bool is_large = asked.target == "/stream/large";
    out->start(std::move(head));
    for (int id = 0; id < (is_large ? events_of_stream : 10); ++id) {
        out->write(event_of(id, is_large ? event_bytes : 100));
    }
    out->finish();
}

/// A caller that sends a request and reads nothing. Its socket is that of a host on an Ethernet;
/// with the sizes of loopback the system alone would buffer the whole stream.
class stopped_caller {
public:
    stopped_caller(asio::io_context& context, std::uint16_t port, std::size_t number)
        : socket(context, asio::ip::tcp::v4())
    {
        constexpr int segment = 1448;
        const auto descriptor = this->socket.native_handle();
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
        this->socket.set_option(asio::socket_base::receive_buffer_size(4096));
        this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
        const auto text =
            "POST /stream/large HTTP/1.1\r\nHost: h\r\nReedramp-Attempt-Id: stopped-" +
            std::to_string(number) +
            "\r\nReedramp-Deadline-Ms: 20000\r\nReedramp-Key: key\r\n"
            "Content-Length: 0\r\n\r\n";
        asio::write(this->socket, asio::buffer(text));
    }

    asio::ip::tcp::socket socket;
};

/// An entry: a router core behind a real server, with a real client to the stand-in.
struct entry {
    explicit entry(std::uint16_t server_port)
        : timers(std::make_shared<daemon::timer_queue>(this->on.context, daemon::boot_time))
    {
        router_hooks hooks;
        hooks.clock = daemon::boot_time;
        hooks.random = daemon::random_bits;
        hooks.timer =
            [queue = this->timers](common::time_point when, std::function<auto()->void> action) {
                queue->add(when, std::move(action));
            };
        router_options options;
        options.streams.held.budget = budget;
        this->core = std::make_shared<router_core>(
            std::move(hooks), options, http::client::create(this->on.context, {}));
        this->core->apply_rules(rules_of(1));
        const common::server_id name{"a"};
        this->core->servers.apply(
            {name,
             routing::registration{
                 name,
                 common::service_name{"engines"},
                 "127.0.0.1:" + std::to_string(server_port),
                 common::data_centre_id{""},
                 common::version_id{"v1"},
                 8,
                 false}});
        this->callers = open_server(
            this->on, [this](http::request asked, std::shared_ptr<http::responder> out) {
                this->core->handle(std::move(asked), std::move(out));
                this->most_held = std::max(this->most_held, this->core->streams->total());
            });
        this->on.ask([this] { this->watch(); });
    }

    ~entry()
    {
        // The calls of open requests must end before the context that their sockets need.
        this->on.ask([this] { this->core->end_all_requests(); });
        this->on.ask([] {});
        this->on.stop();
        this->timers->clear();
    }

    entry(const entry&) = delete;
    entry(entry&&) = delete;
    auto operator=(const entry&) -> entry& = delete;
    auto operator=(entry&&) -> entry& = delete;

    /// Samples the bytes held, on the loop's thread.
    auto watch() -> void
    {
        this->most_held = std::max(this->most_held, this->core->streams->total());
        this->timers->add(daemon::boot_time() + milliseconds{1}, [this] { this->watch(); });
    }

    loop on;
    std::shared_ptr<daemon::timer_queue> timers;
    std::shared_ptr<router_core> core;
    std::unique_ptr<http::server> callers;
    std::size_t most_held = 0;
};

struct normal_result {
    int served = 0;
    int refused = 0;
    int never_served = 0;
    milliseconds longest{0};
};

/// Sends a small request every 50 ms for `time`, and returns after a refusal as it says.
auto ask_normally(loop& on, std::uint16_t port, milliseconds time) -> normal_result
{
    const auto with = http::client::create(on.context, {});
    normal_result result;
    const auto until = daemon::boot_time() + time;
    for (int number = 0; daemon::boot_time() < until; ++number) {
        const auto began = daemon::boot_time();
        const http::request asked{
            "POST",
            "/stream/small",
            {{"Host", "h"},
             {"Reedramp-Attempt-Id", "normal-" + std::to_string(number)},
             {"Reedramp-Deadline-Ms", "9000"},
             {"Reedramp-Key", "key"}},
            "body",
            {}};
        bool is_served = false;
        while (!is_served && daemon::boot_time() < began + seconds{9}) {
            std::promise<common::result<http::response>> done;
            http::call_events events;
            events.on_done = [&done](common::result<http::response> answer) {
                done.set_value(std::move(answer));
            };
            with->send({"127.0.0.1", port}, asked, events);
            const auto answer = done.get_future().get();
            REQUIRE(answer);
            is_served = answer->status == 200;
            result.served += is_served ? 1 : 0;
            result.refused += is_served ? 0 : 1;
            if (!is_served) {
                const auto wait = http::find_header(answer->headers, "Retry-After");
                REQUIRE(wait);
                std::this_thread::sleep_for(
                    std::chrono::duration<double>(std::stod(std::string{*wait})));
            }
        }
        result.never_served += is_served ? 0 : 1;
        result.longest = std::max(
            result.longest, std::chrono::duration_cast<milliseconds>(daemon::boot_time() - began));
        std::this_thread::sleep_for(milliseconds{50});
    }
    return result;
}

} // namespace

// Guards against an entry of 88 MB that is killed because hundreds of callers do not read, and
// against callers beside them that are not served. Load: 300 streams of 1 MB that are sent as fast
// as loopback allows, none of which is read.
TEST_CASE("bytes held for callers that do not read stay within the budget", "[loopback]")
{
    loop server_loop;
    const auto server = open_server(server_loop, answer_as_server);
    entry one(server->port());
    const auto port = one.callers->port();
    loop normal_loop;
    auto normal = std::async(std::launch::async, [&normal_loop, port] {
        return ask_normally(normal_loop, port, seconds{6});
    });
    asio::io_context context;
    std::vector<std::unique_ptr<stopped_caller>> stopped;
    for (std::size_t number = 0; number < stopped_callers; ++number) {
        stopped.push_back(std::make_unique<stopped_caller>(context, port, number));
    }
    const auto result = normal.get();
    const auto most = one.on.ask([&one] { return one.most_held; });
    const auto at_end = one.on.ask([&one] { return one.core->streams->total(); });
    std::cout << "METRIC held_most " << most << " bytes_of " << budget << "\n"
              << "METRIC held_at_end " << at_end << " bytes\n"
              << "METRIC normal_served " << result.served << " requests\n"
              << "METRIC normal_refused " << result.refused << " sends\n"
              << "METRIC normal_longest " << result.longest.count() << " ms\n";
    CHECK(most <= budget + stopped_callers * one_read);
    // Without pressure on the budget this test would show nothing.
    CHECK(most > budget / 2);
    CHECK(result.served >= 10);
    CHECK(result.never_served == 0);
}

} // namespace reedramp::router::testing
