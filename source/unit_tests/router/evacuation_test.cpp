#include <iostream>

#include <catch2/catch.hpp>

#include "entry_fleet.hpp"

namespace reedramp::router::testing {

namespace {

/// Time in which entries find each other and their readers.
constexpr seconds settled{3};

/// A tenth of the time in which operators expect a data centre to be empty.
constexpr milliseconds known_within{500};

constexpr milliseconds long_time{5000};

/// The server's id, then data centre.
auto move_to(world& all, const std::string& server, const std::string& data_centre) -> void
{
    auto moved = *all.core->servers.find(common::server_id{server});
    moved.data_centre = common::data_centre_id{data_centre};
    all.core->servers.apply({moved.id, moved});
}

auto evacuate(world& all, std::vector<std::string> data_centres, std::uint64_t known_to) -> void
{
    routing::evacuation_report known{stream_position::at(0, known_to), {}};
    for (auto& name : data_centres) {
        known.evacuated.emplace_back(std::move(name));
    }
    all.core->learn_evacuations(known, "test");
}

auto retry_after(const caller& of) -> double
{
    return std::stod(std::string{http::find_header(of.answer->headers, "Retry-After").value()});
}

/// Servers a, b and c in a data centre each.
struct three_places : world {
    three_places()
    {
        for (const auto* server : {"a", "b", "c"}) {
            move_to(*this, server, std::string{"dc-"} + server);
        }
    }
};

} // namespace

TEST_CASE("an evacuation and its end reach all entries, also where words are lost", "[evacuation]")
{
    for (const std::size_t count : {4, 26, 103}) {
        entry_fleet fleet{{.entries = count, .data_centres = 3, .loss = 0.02}};
        fleet.run(settled);
        for (int i = 0; i < 3; ++i) {
            fleet.evacuate("dc-1");
            const auto out = fleet.time_until_sparing("dc-1", true, long_time);
            fleet.run(seconds{1});
            fleet.take_back("dc-1");
            const auto back = fleet.time_until_sparing("dc-1", false, long_time);
            fleet.run(seconds{1});
            std::cout << "METRIC evacuation_known_" << count << "_entries " << out.count()
                      << " ms\n";
            INFO(count << " entries: " << out.count() << " " << back.count());
            CHECK(out <= known_within);
            CHECK(back <= known_within);
        }
    }
}

TEST_CASE(
    "where the store turns all readers away the others still follow the operators", "[evacuation]")
{
    entry_fleet fleet{{.entries = 4, .data_centres = 1}};
    fleet.run(settled);
    for (const auto reader : fleet.readers_of(0)) {
        fleet.entries[reader]->is_turned_away = true;
    }
    fleet.run(seconds{3});
    fleet.evacuate("dc-0");
    CHECK(fleet.time_until_sparing("dc-0", true, long_time) <= milliseconds{1500});
    fleet.take_back("dc-0");
    CHECK(fleet.time_until_sparing("dc-0", false, long_time) <= milliseconds{1500});
}

TEST_CASE("an entry that was frozen across either change follows when it wakes", "[evacuation]")
{
    entry_fleet fleet{{.entries = 26, .data_centres = 3}};
    fleet.run(settled);
    for (const bool is_evacuated : {true, false}) {
        fleet.entries[7]->is_frozen = true;
        if (is_evacuated) {
            fleet.evacuate("dc-2");
        }
        else {
            fleet.take_back("dc-2");
        }
        fleet.run(seconds{4});
        fleet.entries[7]->is_frozen = false;
        fleet.run(milliseconds{400});
        CHECK(fleet.sparing("dc-2") == (is_evacuated ? 26 : 0));
    }
}

TEST_CASE("an entry that starts between knows from a neighbour at once", "[evacuation]")
{
    entry_fleet fleet{{.entries = 4, .data_centres = 2}};
    fleet.run(settled);
    fleet.evacuate("dc-1");
    fleet.run(seconds{1});
    fleet.entries[2]->is_turned_away = true;
    fleet.start_anew(2);
    fleet.entries[2]->is_turned_away = true;
    CHECK(fleet.sparing("dc-1") == 4);
}

TEST_CASE("an evacuation that ended while history was trimmed ends everywhere", "[evacuation]")
{
    entry_fleet fleet{{.entries = 4, .data_centres = 1}};
    fleet.run(settled);
    fleet.evacuate("dc-0");
    fleet.run(seconds{1});
    for (auto& one : fleet.entries) {
        one->is_turned_away = true;
    }
    fleet.run(seconds{9});
    fleet.take_back("dc-0");
    fleet.orders_trimmed_to = 2;
    for (auto& one : fleet.entries) {
        one->is_turned_away = false;
    }
    CHECK(fleet.time_until_sparing("dc-0", false, long_time) < seconds{2});
}

TEST_CASE("a store that comes back older takes back what it no longer holds", "[evacuation]")
{
    entry_fleet fleet{{.entries = 26, .data_centres = 3}};
    fleet.run(settled);
    fleet.evacuate("dc-0");
    fleet.run(seconds{1});
    fleet.orders_come_back_older(1);
    CHECK(fleet.time_until_sparing("dc-0", false, long_time) < seconds{2});
    // The operators write it again.
    fleet.evacuate("dc-0");
    CHECK(fleet.time_until_sparing("dc-0", true, long_time) <= known_within);
}

TEST_CASE("nothing goes to an evacuated data centre, no second send either", "[evacuation]")
{
    three_places all;
    evacuate(all, {"dc-a", "dc-b"}, 5);
    const auto out = all.ask("/again/1");
    CHECK(all.last().header("Reedramp-Expect-Server") == "c");
    all.last().lose(common::execution::unknown);
    // The only server left has been tried.
    CHECK(all.sends() == 1);
    CHECK(out->status() == 502);
    evacuate(all, {"dc-b"}, 6);
    all.ask("/again/1");
    all.last().lose(common::execution::unknown);
    CHECK(all.sends() == 3);
}

TEST_CASE("a stream that is cut in an evacuated data centre goes on outside", "[evacuation]")
{
    three_places all;
    evacuate(all, {"dc-b", "dc-c"}, 5);
    const auto out = all.ask("/stream/1", {{"Reedramp-Model", "l"}});
    REQUIRE(all.last().header("Reedramp-Expect-Server") == "a");
    all.last().head(200, {{"Reedramp-Confidence", "100"}});
    all.last().chunk("id: 0\ndata: 0\n\n");
    evacuate(all, {"dc-a", "dc-b"}, 7);
    // What runs there may end; this does not.
    all.last().lose(common::execution::unknown);
    REQUIRE(all.sends() == 2);
    CHECK(all.last().header("Reedramp-Expect-Server") == "c");
    CHECK(all.last().header("Last-Event-Id") == "0");
}

TEST_CASE("with all data centres evacuated requests are refused at once", "[evacuation]")
{
    three_places all;
    evacuate(all, {"dc-a", "dc-b", "dc-c"}, 5);
    const auto out = all.ask("/once/1");
    CHECK(all.sends() == 0);
    CHECK(out->status() == 503);
    CHECK(retry_after(*out) >= 1.0);
}

TEST_CASE("servers of a data centre that is taken back count as cold", "[evacuation][cold]")
{
    three_places all;
    evacuate(all, {"dc-a"}, 5);
    evacuate(all, {}, 6);
    const auto& servers = all.core->servers;
    const auto is_cold = [&](const char* id) {
        return servers.find(common::server_id{id})->cold_until > all.now;
    };
    CHECK(is_cold("a"));
    CHECK_FALSE(is_cold("b"));
    // A record that the server wrote before it was taken back says that it is warm.
    auto read = *servers.find(common::server_id{"a"});
    read.cold_until = {};
    all.core->servers.apply_registration(read, all.now);
    CHECK(is_cold("a"));
    all.advance(milliseconds{3600});
    CHECK_FALSE(is_cold("a"));
}

} // namespace reedramp::router::testing
