#include "routing/event_splitter.hpp"

#include <limits>
#include <random>

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

const std::string three_events = "id: 0\ndata: a\n\nid: 1\ndata: b\n\nid: 2\ndata: c\n\n";

} // namespace

TEST_CASE("only whole events are passed on, wherever the bytes are split", "[event_splitter]")
{
    for (std::size_t cut = 0; cut <= three_events.size(); ++cut) {
        event_splitter splitter{-1};
        std::string out;
        REQUIRE(splitter.add(three_events.substr(0, cut), out));
        // The output so far ends with a complete event.
        CHECK((out.empty() || out.ends_with("\n\n")));
        REQUIRE(splitter.add(three_events.substr(cut), out));
        CHECK(out == three_events);
        CHECK_FALSE(splitter.has_partial_event());
        CHECK(splitter.last_id() == 2);
    }
}

TEST_CASE("an incomplete event of a failed server is not passed on", "[event_splitter]")
{
    // The server fails in the middle of event 1, and the server that continues starts with event 1.
    // With the incomplete part before it, the caller would read an event that no server sent.
    event_splitter splitter{-1};
    std::string out;
    REQUIRE(splitter.add("id: 0\ndata: a\n\nid: 1\nda", out));
    CHECK(out == "id: 0\ndata: a\n\n");
    CHECK(splitter.has_partial_event());
    CHECK(splitter.last_id() == 0);
}

TEST_CASE("a missing or repeated event stops the stream", "[event_splitter]")
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

TEST_CASE("an event that never ends is rejected", "[event_splitter]")
{
    // Its bytes would be buffered until the entry runs out of memory, which affects all its
    // callers.
    event_splitter splitter{-1};
    const std::string piece(64UL * 1024UL, 'x');
    std::string out;
    int taken = 0;
    while (splitter.add(piece, out) && taken < 1000) {
        taken += 1;
    }
    CHECK(taken == 4);
    CHECK(out.empty());
}

// Guards against a stream whose events never have an id, which its caller would get for ever.
TEST_CASE("events without an id that never end are rejected", "[event_splitter]")
{
    event_splitter splitter{-1};
    std::string out;
    REQUIRE(splitter.add("id: 0\ndata: a\n\n", out));
    int taken = 0;
    while (splitter.add(": nothing\n\n", out) && taken < 100'000) {
        taken += 1;
    }
    CHECK(taken < 25'000);
}

TEST_CASE("for arbitrary bytes, only whole events in order are passed on", "[event_splitter]")
{
    // Streams with bytes changed, dropped and repeated at random positions, split into random
    // pieces. The ids passed on must be consecutive, and the output must end with a complete event.
    std::mt19937_64 random{20261202};
    const auto draw = [&random](std::size_t below) {
        return random() % below;
    };
    for (int round = 0; round < 3000; ++round) {
        std::string bytes;
        for (int id = 0; id < 8; ++id) {
            bytes += "id: " + std::to_string(id) + "\ndata: text\n\n";
        }
        for (std::size_t change = draw(4); change > 0; --change) {
            const auto at = draw(bytes.size());
            switch (draw(3)) {
            case 0:
                bytes[at] = static_cast<char>(draw(256));
                break;
            case 1:
                bytes.erase(at, draw(30));
                break;
            default:
                bytes.insert(at, bytes.substr(at, draw(30)));
                break;
            }
        }
        event_splitter splitter{-1};
        std::string out;
        std::string_view rest = bytes;
        while (!rest.empty()) {
            const auto size = std::min<std::size_t>(rest.size(), 1 + draw(40));
            const bool in_order = splitter.add(rest.substr(0, size), out);
            rest.remove_prefix(size);
            if (!in_order) {
                break;
            }
        }
        INFO(bytes);
        CHECK((out.empty() || out.ends_with("\n\n") || out.ends_with("\r\n\r\n")));
        CHECK(bytes.starts_with(out));
    }
    // The largest number that a caller may name has no successor.
    event_splitter last{std::numeric_limits<std::int64_t>::max()};
    std::string out;
    CHECK_FALSE(last.add("id: 0\ndata: a\n\n", out));
}

} // namespace reedramp::routing
