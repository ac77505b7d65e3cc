#include <algorithm>

#include <catch2/catch.hpp>

#include "response_simulation.hpp"

namespace reedramp::router::testing {

namespace {

/// Time from a response in which a server states that it leaves until the receiving entry sends it
/// nothing more.
constexpr seconds drain_time{2};

/// Requests that arrived at the server later than that from entries that knew that it leaves.
auto late_arrivals(
    const response_simulation& simulation, const std::string& server, common::time_point said_from)
    -> std::size_t
{
    std::size_t late = 0;
    for (const auto& one : simulation.arrivals) {
        const bool was_told =
            std::ranges::any_of(simulation.responses, [&](const received_response& respond) {
                return respond.of.entry == one.entry && respond.of.server == server &&
                       respond.at >= said_from && respond.at + drain_time < one.at;
            });
        late += one.server == server && was_told ? 1 : 0;
    }
    return late;
}

} // namespace

TEST_CASE("a server that states in responses that it leaves gets no new requests", "[leaving]")
{
    // Guards against sending to a server whose registration does not, or not yet, say that it
    // leaves.
    for (const std::uint16_t status : {200, 500, 503}) {
        for (const std::size_t entries : {1, 4, 27}) {
            response_simulation simulation{{.entries = entries, .loss = 0.02}};
            simulation.run(seconds{2});
            simulation.respond = [status](const arrival& one) {
                server_response response;
                if (one.server == "s-0") {
                    response = {status, {{"Reedramp-Server-Leaving", "1"}}};
                }
                if (status == 503 && one.server == "s-0") {
                    response.headers.push_back({"Reedramp-Not-Executed", "1"});
                }
                return response;
            };
            const auto said_from = simulation.now();
            simulation.run(seconds{8});
            INFO(entries << " entries, status " << status);
            CHECK(late_arrivals(simulation, "s-0", said_from) == 0);
            // The other entries learn of it too.
            CHECK(simulation.arrivals_at("s-0", said_from + drain_time) == 0);
        }
    }
}

TEST_CASE("an invalid leaving header removes no server", "[leaving]")
{
    // Guards against dropping a server that states that it stays.
    for (const auto* value : {"0", "", "no", "1x"}) {
        router_fixture fixture;
        fixture.ask("/again/1");
        const auto server = fixture.last().header("Reedramp-Expect-Server");
        fixture.last().answer(200, "whole", {{"Reedramp-Server-Leaving", value}});
        INFO(value);
        CHECK(fixture.core->servers.find(common::server_id{server}) != nullptr);
    }
}

} // namespace reedramp::router::testing
