#include <algorithm>

#include <catch2/catch.hpp>

#include "router_fixture.hpp"

namespace reedramp::router::testing {

namespace {

constexpr double cold_rate = 12.0;
constexpr seconds cold_time{3};

auto retry_after(const caller& of) -> double
{
    return std::stod(std::string{http::find_header(of.answer->headers, "Retry-After").value()});
}

/// Fixture in which all servers are cold, at one of `entries` entries.
struct cold_fixture : router_fixture {
    explicit cold_fixture(std::size_t entries)
    {
        auto rules = rules_of(2);
        rules.rules.services.front().cold_per_second = cold_rate;
        this->core->apply_rules(std::move(rules));
        this->core->limiter =
            routing::server_limiter{routing::server_limiter_options{}, {[entries] {
                                        return routing::entry_rank{0, entries};
                                    }}};
        for (const auto* id : {"a", "b", "c"}) {
            this->set_cold(id, cold_time);
        }
    }

    /// Sends requests of `count` callers at once.
    auto send_requests(int count) -> std::vector<std::shared_ptr<caller>>
    {
        std::vector<std::shared_ptr<caller>> callers;
        for (int i = 0; i < count; ++i) {
            callers.push_back(this->ask("/once/1"));
        }
        return callers;
    }

    auto set_cold(const char* id, common::duration time) -> void
    {
        auto server = *this->core->servers.find(common::server_id{id});
        server.cold_until = this->now + time;
        this->core->servers.apply_registration(server, this->now);
    }
};

} // namespace

TEST_CASE("with all servers cold a request waits for a send slot for a limited time", "[cold]")
{
    cold_fixture fixture{1};
    const auto callers = fixture.send_requests(20);
    const auto at_once = fixture.sends();
    fixture.advance(milliseconds{500});
    // A quarter of 12 requests per second, at each of three servers.
    CHECK(fixture.sends() > at_once);
    CHECK(fixture.sends() <= 9);
    const auto refused = static_cast<std::size_t>(
        std::ranges::count_if(callers, [](const auto& one) { return one->status() == 503; }));
    CHECK(refused + fixture.sends() == callers.size());
}

TEST_CASE("a caller refused because all servers are cold is told when one is warm", "[cold]")
{
    cold_fixture fixture{390};
    const auto out = fixture.ask("/once/1");
    fixture.advance(milliseconds{500});
    REQUIRE(out->status() == 503);
    CHECK(retry_after(*out) >= 2.5);
    CHECK(retry_after(*out) <= 4.0);
    fixture.advance(std::chrono::duration_cast<milliseconds>(cold_time));
    fixture.ask("/once/1");
    CHECK(fixture.sends() == 1);
}

TEST_CASE("a request that can't get a send slot in time is refused at once", "[cold]")
{
    cold_fixture fixture{100'000};
    const auto out = fixture.ask("/once/1");
    CHECK(out->status() == 503);
}

TEST_CASE("an unsure answer is forwarded when no server has a send slot for another", "[cold]")
{
    cold_fixture fixture{1};
    const auto out = fixture.ask("/stream/1");
    while (fixture.sends() == 0) {
        fixture.advance(milliseconds{10});
    }
    // All send slots are used meanwhile.
    fixture.send_requests(20);
    auto& first = *fixture.client->sent.front();
    const auto sends = fixture.sends();
    first.head(200, {{"Reedramp-Confidence", "1"}});
    first.chunk("id: 0\ndata: 0\n\n");
    first.end();
    CHECK(fixture.sends() == sends);
    CHECK(out->is_finished);
    CHECK(out->events == "id: 0\ndata: 0\n\n");
}

TEST_CASE("a request is not sent if its caller leaves while it waits for a send slot", "[cold]")
{
    cold_fixture fixture{1};
    const auto callers = fixture.send_requests(20);
    const auto before = fixture.sends();
    for (const auto& one : callers) {
        one->leave_action();
    }
    fixture.advance(seconds{1});
    CHECK(fixture.sends() == before);
}

TEST_CASE("an attempt whose caller left before it was sent is served when it comes again", "[cold]")
{
    cold_fixture fixture{1};
    fixture.send_requests(20);
    const auto sends = fixture.sends();
    fixture.ask("/once/1", {{"Reedramp-Attempt-Id", "repeated"}})->leave_action();
    fixture.advance(std::chrono::duration_cast<milliseconds>(cold_time));
    const auto again = fixture.ask("/once/1", {{"Reedramp-Attempt-Id", "repeated"}});
    CHECK(fixture.sends() > sends);
    fixture.last().answer(200, "answer");
    CHECK(again->status() == 200);
}

TEST_CASE("a service without a rate has no limit for cold servers", "[cold]")
{
    cold_fixture fixture{390};
    auto rules = rules_of(3);
    fixture.core->apply_rules(std::move(rules));
    fixture.send_requests(20);
    CHECK(fixture.sends() == 20);
}

} // namespace reedramp::router::testing
