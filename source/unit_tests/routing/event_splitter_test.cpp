#include "routing/event_splitter.hpp"

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

const std::string three_events = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n";

} // namespace

TEST_CASE("events leave whole, wherever the bytes are cut", "[event_splitter]")
{
    for (std::size_t cut = 0; cut <= three_events.size(); ++cut) {
        event_splitter splitter{-1};
        std::string out;
        REQUIRE(splitter.add(three_events.substr(0, cut), out));
        // What has left so far ends with an event's end.
        CHECK((out.empty() || out.ends_with("\n\n")));
        REQUIRE(splitter.add(three_events.substr(cut), out));
        CHECK(out == three_events);
        CHECK_FALSE(splitter.has_rest());
        CHECK(splitter.last_id() == 2);
    }
}

TEST_CASE("a server that fails inside an event leaves no piece of it", "[event_splitter]")
{
    // The server breaks off in the middle of event 1. The one that goes on begins with event 1;
    // with the piece before it, the caller would read an event that no server sent.
    event_splitter splitter{-1};
    std::string out;
    REQUIRE(splitter.add("id: 0\ndata: a\n\nid: 1\nda", out));
    CHECK(out == "id: 0\ndata: a\n\n");
    CHECK(splitter.has_rest());
    CHECK(splitter.last_id() == 0);
}

TEST_CASE("an event that is missing or comes twice stops the stream", "[event_splitter]")
{
    std::string out;
    event_splitter repeats{4};
    CHECK_FALSE(repeats.add("id: 4\ndata: a\n\n", out));
    event_splitter skips{4};
    CHECK_FALSE(skips.add("id: 6\ndata: a\n\n", out));
    event_splitter follows{4};
    CHECK(follows.add("id: 5\r\ndata: a\r\n\r\n", out));
    CHECK(out == "id: 5\r\ndata: a\r\n\r\n");
}

} // namespace reedramp::routing
