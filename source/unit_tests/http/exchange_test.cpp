#include "fixture.hpp"

using namespace reedramp;
using namespace reedramp::http;
using namespace reedramp::http::testing;

namespace {

auto echo(request asked, const std::shared_ptr<responder>& out) -> void
{
    response answer;
    answer.headers.push_back({"X-Target", asked.target});
    answer.body = asked.method + ":" + asked.body;
    out->send(std::move(answer));
}

} // namespace

TEST_CASE("a whole answer comes back, over one kept connection")
{
    loop server_loop;
    loop client_loop;
    const auto serving = open_server({&server_loop.context}, echo);
    const auto with = client::create(client_loop.context, {});
    for (int turn = 0; turn < 3; turn += 1) {
        const auto answer = fetch(*with, address_of(*serving), post("/p?q=1", "body"));
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(answer->body == "POST:body");
        CHECK(find_header(answer->headers, "x-target") == "/p?q=1");
        CHECK(serving->open_connections() == 1);
    }
}

TEST_CASE("a stream written from another thread arrives whole and in order")
{
    loop server_loop;
    loop client_loop;
    loop source;
    std::string sent;
    for (int number = 0; number < 20000; number += 1) {
        sent += "t" + std::to_string(number) + " ";
    }
    const auto serving = open_server(
        {&server_loop.context}, [&source, &sent](request, std::shared_ptr<responder> out) {
            boost::asio::post(source.context, [&sent, out = std::move(out)] {
                out->start({200, {{"Content-Type", "text/event-stream"}}, {}});
                for (std::size_t at = 0; at < sent.size(); at += 7) {
                    out->write(sent.substr(at, 7));
                }
                out->finish();
            });
        });
    const auto with = client::create(client_loop.context, {});
    std::string got;
    std::promise<common::result<response>> done;
    call_events events;
    events.on_chunk = [&got](std::string piece) {
        got += piece;
    };
    events.on_done = [&done](common::result<response> answer) {
        done.set_value(std::move(answer));
    };
    with->send(address_of(*serving), get("/"), events);
    const auto answer = done.get_future().get();
    REQUIRE(answer);
    CHECK(answer->body.empty());
    CHECK(got == sent);
}
