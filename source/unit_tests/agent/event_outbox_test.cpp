#include <catch2/catch.hpp>

#include <string>
#include <variant>

#include "agent/event_outbox.hpp"

namespace reedramp::agent {

TEST_CASE("Events reach the reader in order, one at a time, and end with the final one")
{
    // The reader sees a final event and nothing after it. While it handles an event, more come
    // (from another thread, or from inside itself); delivered at once they would overtake the rest.
    std::string seen;
    event_outbox* outbox = nullptr;
    const auto token = [](std::uint64_t index) {
        return messages::tokens_event{index, 1, std::to_string(index)};
    };
    event_outbox made([&](const messages::run_event& event) {
        const auto* tokens = std::get_if<messages::tokens_event>(&event);
        seen += "<";
        if (tokens != nullptr && tokens->first_index == 0) {
            outbox->put(token(2));
            outbox->put(token(3));
            outbox->put(messages::finished_event{});
            outbox->put(token(4));
            outbox->put(messages::failed_event{});
        }
        seen += (tokens != nullptr ? tokens->text : "end") + ">";
    });
    outbox = &made;
    made.put(token(0));
    made.put(token(1));
    CHECK(seen.empty());
    CHECK_FALSE(made.release_if_empty());
    made.release();
    CHECK(seen == "<01><23><end>");
    made.put(token(5));
    CHECK(seen == "<01><23><end>");
}

TEST_CASE("A reader that has left sees nothing more and is let go")
{
    auto held = std::make_shared<int>(0);
    event_outbox outbox([held](const messages::run_event&) { ++*held; });
    CHECK(outbox.release_if_empty());
    outbox.put(messages::tokens_event{0, 1, "t0 "});
    outbox.close();
    outbox.put(messages::finished_event{});
    CHECK(*held == 1);
    CHECK(held.use_count() == 1);
}

} // namespace reedramp::agent
