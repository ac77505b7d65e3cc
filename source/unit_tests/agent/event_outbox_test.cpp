#include <catch2/catch.hpp>

#include <string>
#include <variant>

#include "agent/event_outbox.hpp"

namespace reedramp::agent {

TEST_CASE("Events are delivered in order, one at a time, and end with the final one")
{
    // While the receiver handles an event, more are sent, by another thread or by the receiver
    // itself. Immediate delivery would reorder them. Nothing is delivered after the final event.
    std::string seen;
    event_outbox* outbox = nullptr;
    const auto token = [](std::uint64_t index) {
        return messages::tokens_event{index, 1, std::to_string(index)};
    };
    event_outbox made([&](const messages::run_event& event) {
        const auto* tokens = std::get_if<messages::tokens_event>(&event);
        seen += "<";
        if (tokens != nullptr && tokens->first_index == 0) {
            outbox->send(token(2));
            outbox->send(token(3));
            outbox->send(messages::finished_event{});
            outbox->send(token(4));
            outbox->send(messages::failed_event{});
        }
        seen += (tokens != nullptr ? tokens->text : "end") + ">";
    });
    outbox = &made;
    made.send(token(0));
    made.send(token(1));
    CHECK(seen.empty());
    CHECK_FALSE(made.release_if_empty());
    made.release();
    CHECK(seen == "<01><23><end>");
    made.send(token(5));
    CHECK(seen == "<01><23><end>");
}

TEST_CASE("After close nothing is delivered and the sink is released")
{
    auto held = std::make_shared<int>(0);
    event_outbox outbox([held](const messages::run_event&) { ++*held; });
    CHECK(outbox.release_if_empty());
    outbox.send(messages::tokens_event{0, 1, "t0 "});
    outbox.close();
    outbox.send(messages::finished_event{});
    CHECK(*held == 1);
    CHECK(held.use_count() == 1);
}

} // namespace reedramp::agent
