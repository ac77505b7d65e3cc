#include <algorithm>

#include <catch2/catch.hpp>

#include "world.hpp"

namespace reedramp::router::testing {

namespace {

constexpr double cold_rate = 12.0;
constexpr seconds cold_time{3};

auto retry_after(const caller& of) -> double
{
    return std::stod(std::string{http::find_header(of.answer->headers, "Retry-After").value()});
}

/// All servers are cold, at one of `entries` entries.
struct cold_world : world {
    explicit cold_world(std::size_t entries)
    {
        auto rules = rules_of(2);
        rules.rules.services.front().cold_per_second = cold_rate;
        this->core->adopt(std::move(rules));
        this->core->intake = routing::server_limiter{routing::server_limiter_options{}, {[entries] {
                                                         return routing::entry_rank{0, entries};
                                                     }}};
        for (const auto* id : {"a", "b", "c"}) {
            this->set_cold(id, cold_time);
        }
    }

    /// As many callers at once.
    auto ask_often(int count) -> std::vector<std::shared_ptr<caller>>
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

TEST_CASE("with all servers cold a request waits for a turn, and not for long", "[cold]")
{
    cold_world all{1};
    const auto callers = all.ask_often(20);
    const auto at_once = all.sends();
    all.advance(milliseconds{500});
    // Of 12 requests a second, a quarter, at each of three servers.
    CHECK(all.sends() > at_once);
    CHECK(all.sends() <= 9);
    const auto refused = static_cast<std::size_t>(
        std::ranges::count_if(callers, [](const auto& one) { return one->status() == 503; }));
    CHECK(refused + all.sends() == callers.size());
}

TEST_CASE("who is refused since all are cold is told when one is warm", "[cold]")
{
    cold_world all{390};
    const auto out = all.ask("/once/1");
    all.advance(milliseconds{500});
    REQUIRE(out->status() == 503);
    CHECK(retry_after(*out) >= 2.5);
    CHECK(retry_after(*out) <= 4.0);
    all.advance(std::chrono::duration_cast<milliseconds>(cold_time));
    all.ask("/once/1");
    CHECK(all.sends() == 1);
}

TEST_CASE("a refusal that can be seen at once comes at once", "[cold]")
{
    cold_world all{100'000};
    const auto out = all.ask("/once/1");
    CHECK(out->status() == 503);
}

TEST_CASE("an answer is passed on, however unsure, when no server has a turn for another", "[cold]")
{
    cold_world all{1};
    const auto out = all.ask("/stream/1");
    while (all.sends() == 0) {
        all.advance(milliseconds{10});
    }
    // All turns are used meanwhile.
    all.ask_often(20);
    auto& first = *all.client->sent.front();
    const auto sends = all.sends();
    first.head(200, {{"Reedramp-Confidence", "1"}});
    first.chunk("id: 0\ndata: 0\n\n");
    first.end();
    CHECK(all.sends() == sends);
    CHECK(out->is_finished);
    CHECK(out->events == "id: 0\ndata: 0\n\n");
}

TEST_CASE("a caller that leaves while it waits for a turn reaches no server", "[cold]")
{
    cold_world all{1};
    const auto callers = all.ask_often(20);
    const auto before = all.sends();
    for (const auto& one : callers) {
        one->leave_action();
    }
    all.advance(seconds{1});
    CHECK(all.sends() == before);
}

TEST_CASE("a service that names no rate is served as before", "[cold]")
{
    cold_world all{390};
    auto rules = rules_of(3);
    all.core->adopt(std::move(rules));
    all.ask_often(20);
    CHECK(all.sends() == 20);
}

} // namespace reedramp::router::testing
