#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "routing/server_choice.hpp"

namespace reedramp::routing {

namespace {

constexpr time_point now{std::chrono::seconds{1000}};
constexpr double memory_tokens = 425'675.0;
/// A draft: prompt and expected answer.
constexpr double draft_tokens = 12'000.0;

/// Servers of one service with a number of drafts in flight at each.
struct service_of_drafts {
    explicit service_of_drafts(const std::vector<int>& drafts)
    {
        this->servers.reserve(drafts.size());
        for (std::size_t i = 0; i < drafts.size(); ++i) {
            auto& server = this->servers.emplace_back();
            server.id = common::server_id{std::to_string(i)};
            this->usable.push_back(&server);
            for (int k = 0; k < drafts[i]; ++k) {
                this->loads.begin(server.instance(), 1.0, 0.0, draft_tokens);
            }
        }
        this->asked.memory = draft_tokens;
        this->asked.work = 1000.0;
    }

    auto choose(double memory, std::uint64_t chance) -> const registration*
    {
        server_trackers trackers{this->loads, this->speeds, this->health};
        trackers.memory_tokens = memory;
        return choose_server(this->usable, this->asked, trackers, {}, chance, now);
    }

    std::vector<registration> servers;
    std::vector<const registration*> usable;
    load_tracker loads;
    server_speed_tracker speeds;
    server_health health{health_options{}};
    placement_request asked;
};

} // namespace

TEST_CASE("a server whose memory would overflow ranks behind those with room", "[server_choice]")
{
    // Guards against a draft at an engine that has free slots and no memory, and preempts another
    // request for it.
    service_of_drafts two{{35, 34}};
    two.loads.begin(two.servers[1].instance(), 1e6);
    CHECK(two.choose(0.0, 1) == two.usable[0]);
    CHECK(two.choose(memory_tokens, 1) == two.usable[1]);
    // Also before a server that has the prefix cached.
    for (std::uint64_t prefix = 1; prefix < 20; ++prefix) {
        two.asked.affinity = prefix;
        two.asked.saved_work = 1e9;
        CHECK(two.choose(memory_tokens, 1) == two.usable[1]);
    }
    // A short request still fits.
    two.asked = {};
    two.asked.memory = 500.0;
    CHECK(two.choose(memory_tokens, 1) == two.usable[0]);
}

TEST_CASE("with all memory in use the choice is as without memory", "[server_choice]")
{
    // Guards against requests without a server, or all at the same one, when all memory is full.
    service_of_drafts few{{40, 37, 38}};
    CHECK(few.choose(memory_tokens, 1) == few.choose(0.0, 1));
    service_of_drafts many{std::vector<int>(200, 36)};
    std::vector<int> chosen(200);
    for (std::uint64_t i = 0; i < 2000; ++i) {
        const auto* server = many.choose(memory_tokens, i);
        REQUIRE(server != nullptr);
        chosen[static_cast<std::size_t>(server - many.servers.data())] += 1;
    }
    CHECK(*std::ranges::max_element(chosen) < 40);
}

TEST_CASE("the few servers with room among hundreds are found", "[server_choice]")
{
    // Guards against candidates that are all full while other servers have room.
    std::vector<int> drafts(620, 36);
    for (std::size_t i = 0; i < drafts.size(); i += 5) {
        drafts[i] = 10;
    }
    service_of_drafts many{drafts};
    int to_full = 0;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const auto* server = many.choose(memory_tokens, i);
        to_full += (server - many.servers.data()) % 5 == 0 ? 0 : 1;
    }
    CHECK(to_full <= 20);
}

} // namespace reedramp::routing
