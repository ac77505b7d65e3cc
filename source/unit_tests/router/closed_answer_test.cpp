#include <catch2/catch.hpp>

#include "router_fixture.hpp"

namespace reedramp::router::testing {

namespace {

const std::vector<http::header> prompt{{"Reedramp-Prompt-Parts", "a1:10,f1:10,77:5"}};

/// Two requests in flight at the same server.
auto two_at_one_server(router_fixture& fixture)
    -> std::pair<std::shared_ptr<sent_request>, std::shared_ptr<sent_request>>
{
    constexpr std::size_t enough = 8;
    std::map<std::string, std::shared_ptr<sent_request>> by_server;
    for (std::size_t i = 0; i < enough; ++i) {
        fixture.ask("/stream/1", prompt, "body " + std::to_string(i));
        const auto sent = fixture.client->sent.back();
        const auto [known, is_new] =
            by_server.try_emplace(sent->header("Reedramp-Expect-Server"), sent);
        if (!is_new) {
            return {known->second, sent};
        }
    }
    return {};
}

auto losses(router_fixture& fixture) -> std::vector<routing::loss_report>
{
    return fixture.core->crashes.take_losses(fixture.now);
}

} // namespace

/// Guards against servers whose end looks like the end of an answer, so that nothing shows a crash.
TEST_CASE("a stream that ends in the middle of an event is lost with its server", "[closed_answer]")
{
    router_fixture fixture;
    const auto out = fixture.ask("/stream/1", prompt);
    fixture.last().head(200);
    fixture.last().chunk("id: 0\ndata: a\n\nid: 1\nda");
    fixture.last().end_by_close();
    const auto lost = losses(fixture);
    REQUIRE(lost.size() == 1);
    CHECK(lost.front().prompt.parts.size() == 2);
    // It goes on elsewhere, after the event that the caller has.
    REQUIRE(fixture.sends() == 2);
    CHECK(fixture.last().header("Last-Event-Id") == "0");
    CHECK(out->events == "id: 0\ndata: a\n\n");
    CHECK(!out->is_finished);
}

/// Guards against clearing a suspect by an answer that ended only because its server did.
TEST_CASE("an answer that ended together with its server clears nothing", "[closed_answer]")
{
    router_fixture fixture;
    const auto [first, second] = two_at_one_server(fixture);
    REQUIRE(first);
    first->head(200);
    first->chunk("id: 0\ndata: a\n\n");
    first->end_by_close();
    fixture.advance(milliseconds{100});
    second->lose(common::execution::unknown);
    // A third loss shows the crash; the first request is one of its suspects then.
    const routing::server_instance server{
        common::server_id{first->header("Reedramp-Expect-Server")}};
    fixture.core->crashes.note_down(server, fixture.now);
    CHECK(losses(fixture).size() == 2);
    fixture.advance(milliseconds{300});
    const auto late = losses(fixture);
    REQUIRE(late.size() == 1);
    CHECK(late.front().server == hash_of(server));
    CHECK(late.front().prompt.parts.size() == 2);
}

/// Guards against taking each end of a connection for a crash.
TEST_CASE(
    "an answer that ends with its connection is served if the server lives", "[closed_answer]")
{
    router_fixture fixture;
    const auto out = fixture.ask("/stream/1", prompt);
    fixture.last().head(200);
    fixture.last().chunk("id: 0\ndata: a\n\n");
    fixture.last().end_by_close();
    CHECK(out->is_finished);
    fixture.advance(seconds{1});
    CHECK(losses(fixture).empty());
    CHECK(fixture.sends() == 1);
}

} // namespace reedramp::router::testing
