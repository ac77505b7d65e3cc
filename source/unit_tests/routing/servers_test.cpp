#include <catch2/catch.hpp>

#include "routing/server_choice.hpp"

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const common::service_name engines{"engines"};
const time_point start{seconds{100}};

auto server(const char* id, const char* data_centre = "dc-1") -> registration
{
    return {
        common::server_id{id},
        engines,
        "10.0.0.1:80",
        common::data_centre_id{data_centre},
        common::version_id{"v1"},
        8,
        false};
}

/// Servers with the books that a choice looks at.
struct fleet {
    server_table table;
    load_tracker loads;
    server_speed_tracker paces;
    server_health health{health_options{}};

    fleet()
    {
        for (const auto* id : {"a", "b", "c"}) {
            this->table.apply({common::server_id{id}, server(id)});
        }
    }

    auto choose(const placement_request& asked, time_point now = start) -> std::string
    {
        const auto* found = choose_server(
            this->table.usable(engines),
            asked,
            {this->loads, this->paces, this->health},
            {},
            0,
            now);
        return found == nullptr ? "" : found->id.value();
    }
};

auto wish() -> placement_request
{
    placement_request asked;
    asked.work = 100.0;
    asked.own_data_centre = common::data_centre_id{"dc-1"};
    return asked;
}

} // namespace

TEST_CASE("a server that has said it leaves never comes back", "[server_table]")
{
    // A server says that it leaves. The store's history is dropped, and the list is read anew from
    // a record that is older than that word. Taken back, the server would get work after its time.
    server_table table;
    table.apply({common::server_id{"a"}, server("a")});
    auto leaving = server("a");
    leaving.is_leaving = true;
    table.apply({common::server_id{"a"}, leaving});
    CHECK(table.usable(engines).empty());
    table.apply({common::server_id{"a"}, server("a")});
    CHECK(table.usable(engines).empty());
    CHECK(table.is_retired(common::server_id{"a"}));
}

TEST_CASE("what a peer has read of leaving servers counts here too", "[server_table]")
{
    // The store turns this entry away. A peer reads that a server leaves, and within some hundred
    // milliseconds no entry may send work there.
    server_table peer;
    server_table table;
    for (const auto* id : {"a", "b"}) {
        peer.apply({common::server_id{id}, server(id)});
        table.apply({common::server_id{id}, server(id)});
    }
    peer.retire(common::server_id{"b"});
    table.retire_named(peer.leaving());
    REQUIRE(table.usable(engines).size() == 1);
    CHECK(table.usable(engines).front()->id.value() == "a");
    // Only the newest are told.
    for (int i = 0; i < 100; ++i) {
        peer.retire(common::server_id{std::to_string(i)});
    }
    CHECK(peer.leaving().size() == 16);
}

TEST_CASE("a server whose registration lapsed may come back", "[server_table]")
{
    // The store was down for longer than a registration lives. The server worked on all the while,
    // and registers again under the same id.
    server_table table;
    table.apply({common::server_id{"a"}, server("a")});
    table.apply({common::server_id{"a"}, std::nullopt});
    CHECK(table.usable(engines).empty());
    table.apply({common::server_id{"a"}, server("a")});
    CHECK(table.usable(engines).size() == 1);
}

TEST_CASE("what peers have under way counts until they fall silent", "[load_book]")
{
    // Two entries would both choose the server that is idle by their own book alone.
    fleet all;
    all.loads.begin(common::server_id{"a"}, 500.0);
    all.loads.begin(common::server_id{"b"}, 50.0);
    CHECK(all.choose(wish()) == "c");
    all.loads.hear(
        common::host_id{"peer"},
        {{hash_of(common::server_id{"c"}), {3.0, 900.0}}},
        start + milliseconds{500});
    CHECK(all.choose(wish()) == "b");
    CHECK(all.loads.total(common::server_id{"c"}, start).requests == 3.0);
    // The peer has died, and with it what it had under way.
    CHECK(all.choose(wish(), start + seconds{1}) == "c");
}

TEST_CASE("a book that is emptied holds nothing", "[load_book]")
{
    load_tracker loads;
    const common::server_id id{"a"};
    loads.begin(id, 0.1);
    loads.begin(id, 0.2);
    loads.lighten(id, 0.05);
    loads.end(id, 0.05);
    loads.end(id, 0.2);
    CHECK(loads.tell().empty());
    loads.end(id, 0.2);
    CHECK(loads.own(id).requests == 0.0);
}

TEST_CASE("a prompt goes where its parts are, unless that is far busier", "[server_choice]")
{
    fleet all;
    auto asked = wish();
    asked.affinity = 77;
    asked.saved_work = 50.0;
    const auto bound = asked.saved_work * choice_options{}.affinity_patience;
    const auto holder = all.choose(asked);
    all.loads.begin(common::server_id{holder}, 0.9 * bound);
    CHECK(all.choose(asked) == holder);
    all.loads.begin(common::server_id{holder}, 0.2 * bound);
    CHECK(all.choose(asked) != holder);
}

TEST_CASE("a server that was tried is not tried again", "[server_choice]")
{
    fleet all;
    auto asked = wish();
    asked.tried = {common::server_id{"a"}, common::server_id{"b"}};
    CHECK(all.choose(asked) == "c");
    asked.tried.emplace_back(common::server_id{"c"});
    CHECK(all.choose(asked) == "");
}

TEST_CASE("another data centre has to save work", "[server_choice]")
{
    fleet all;
    all.table.apply({common::server_id{"far"}, server("far", "dc-2")});
    for (const auto* id : {"a", "b", "c"}) {
        all.loads.begin(common::server_id{id}, 150.0);
    }
    CHECK(all.choose(wish()) != "far");
    for (const auto* id : {"a", "b", "c"}) {
        all.loads.begin(common::server_id{id}, 150.0);
    }
    CHECK(all.choose(wish()) == "far");
}

TEST_CASE("a server that fails rests, longer each time", "[server_health]")
{
    // A server's status check is good, and no connection to it can be made. Each request that tries
    // it loses time, so it gets one now and then until it answers.
    server_health health{health_options{}};
    const common::server_id id{"a"};
    health.note(id, server_outcome::unreachable, start);
    CHECK(health.is_resting(id, start + milliseconds{600}));
    CHECK_FALSE(health.is_resting(id, start + milliseconds{800}));
    health.note(id, server_outcome::unreachable, start + milliseconds{800});
    CHECK(health.is_resting(id, start + milliseconds{2000}));
    CHECK_FALSE(health.is_resting(id, start + milliseconds{2300}));
}

TEST_CASE("all servers rest: one is taken all the same", "[server_health]")
{
    fleet all;
    for (const auto* id : {"a", "b", "c"}) {
        all.health.note(common::server_id{id}, server_outcome::unreachable, start);
    }
    CHECK(all.choose(wish()) != "");
}

TEST_CASE("a grey server rests, its service's usual failures do not count", "[server_health]")
{
    // Every seventh answer of this service is a failure by itself, and one server fails always.
    server_health health{health_options{}};
    const common::server_id sound{"a"};
    const common::server_id grey{"b"};
    bool sound_rested = false;
    for (int i = 0; i < 70; ++i) {
        const auto now = start + milliseconds{10 * i};
        health.note(sound, i % 7 == 0 ? server_outcome::failed : server_outcome::good, now);
        sound_rested = sound_rested || health.is_resting(sound, now);
        health.note(grey, server_outcome::failed, now);
    }
    CHECK_FALSE(sound_rested);
    CHECK(health.is_resting(grey, start + milliseconds{700}));
}

TEST_CASE("entries leave a failing server alone together", "[server_health]")
{
    // A server fails all of its requests while its status check is good. Of 20 entries each sends
    // it one every second, and each would have to fail there twice: 40 callers' requests.
    const common::server_id failing{"grey"};
    const common::server_id sound{"sound"};
    constexpr std::size_t entries = 20;
    std::vector<server_health> all(entries, server_health{health_options{}});
    auto now = start;
    const auto tell_all = [&all, &now] {
        for (std::size_t from = 0; from < all.size(); ++from) {
            for (std::size_t to = 0; to < all.size(); ++to) {
                if (from != to) {
                    all[to].hear(
                        common::host_id{std::to_string(from)},
                        all[from].tell(now),
                        now + seconds{3},
                        now);
                }
            }
        }
    };
    int failed = 0;
    for (std::size_t i = 0; i < entries; ++i) {
        auto& one = all[i];
        one.note(sound, server_outcome::good, now);
        if (!one.is_resting(failing, now)) {
            one.note(failing, server_outcome::failed, now);
            failed += 1;
        }
        now += milliseconds{50};
        tell_all();
    }
    CHECK(failed <= 5);
    CHECK_FALSE(all[0].is_resting(sound, now));
}

TEST_CASE("a service's usual failures do not add up over entries", "[server_health]")
{
    // A plain service fails one request in seven by itself. Each entry tells of the failures only;
    // added up without the good answers of the others, every server would seem to fail always.
    constexpr std::size_t entries = 20;
    std::vector<server_health> all(entries, server_health{health_options{}});
    auto alone = all;
    std::mt19937_64 random{20261202};
    auto now = start;
    int more_rests = 0;
    for (int round = 0; round < 40; ++round) {
        for (std::size_t i = 0; i < entries; ++i) {
            for (const auto* name : {"a", "b", "c"}) {
                const common::server_id server{name};
                const auto outcome =
                    random() % 7 != 0 ? server_outcome::good : server_outcome::failed;
                all[i].note(server, outcome, now);
                alone[i].note(server, outcome, now);
            }
            for (std::size_t to = 0; to < entries; ++to) {
                if (to != i) {
                    const common::host_id host{std::to_string(i)};
                    all[to].hear(host, all[i].tell(now), now + seconds{3}, now);
                }
            }
        }
        for (std::size_t i = 0; i < entries; ++i) {
            const common::server_id server{"a"};
            const bool rests = all[i].is_resting(server, now);
            more_rests += rests && !alone[i].is_resting(server, now) ? 1 : 0;
        }
        now += milliseconds{500};
    }
    CHECK(more_rests == 0);
}

TEST_CASE("servers that fail together do not pass for usual", "[server_health]")
{
    // A third of the servers fail all that they get, at once, and being fast they get most of it.
    // The service's mean share of failures became theirs, so that none of them was left alone.
    server_health health{health_options{}};
    auto now = start;
    int to_failing = 0;
    for (int i = 0; i < 300; ++i) {
        now += milliseconds{10};
        for (const auto* name : {"x", "y", "z"}) {
            const common::server_id failing{name};
            if (!health.is_resting(failing, now)) {
                health.note(failing, server_outcome::failed, now);
                to_failing += 1;
            }
        }
        health.note(common::server_id{"sound"}, server_outcome::good, now);
    }
    CHECK(to_failing < 60);
}

TEST_CASE("what a peer that fell silent has said of servers is forgotten", "[server_health]")
{
    const common::server_id server{"a"};
    server_health health{health_options{}};
    health.hear(
        common::host_id{"peer"}, {{hash_of(server), 0.0, 2.5}}, start + milliseconds{500}, start);
    CHECK_FALSE(health.is_resting(server, start));
    // Two own failures, and the peer's: too many, were the peer's still counted.
    const auto later = start + seconds{1};
    health.note(server, server_outcome::good, later);
    health.note(server, server_outcome::good, later);
    health.note(server, server_outcome::failed, later);
    CHECK_FALSE(health.is_resting(server, later));
}

TEST_CASE("a full server has no fault", "[server_health]")
{
    server_health health{health_options{}};
    const common::server_id id{"a"};
    for (int i = 0; i < 50; ++i) {
        health.note(id, server_outcome::refused, start);
    }
    CHECK(health.failures(id) == 0.0);
    CHECK_FALSE(health.is_resting(id, start));
}

TEST_CASE("a server that is slow without a sign of it gets less", "[pace_book]")
{
    // One server takes seven times as long for its work. By work alone it would get its equal share
    // and have the longest queue.
    fleet all;
    for (int i = 0; i < 40; ++i) {
        all.paces.note(common::server_id{"a"}, milliseconds{700}, 500.0);
        all.paces.note(common::server_id{"b"}, milliseconds{100}, 500.0);
        all.paces.note(common::server_id{"c"}, milliseconds{100}, 500.0);
    }
    CHECK(
        all.paces.slowness(common::server_id{"a"}) >
        5.0 * all.paces.slowness(common::server_id{"b"}));
    all.loads.begin(common::server_id{"b"}, 200.0);
    all.loads.begin(common::server_id{"c"}, 200.0);
    CHECK(all.choose(wish()) != "a");
    CHECK(all.paces.slowness(common::server_id{"new"}) == 1.0);
}

TEST_CASE("a server that was idle when it was asked does not draw all work", "[pace_book]")
{
    // One server answered some requests at a tenth of the others' time: it was idle, and held the
    // prompts. Taken for ten times as fast, it got forty requests within a second, which then
    // waited for two, and the next server that was left alone meanwhile got the next forty.
    fleet all;
    for (int i = 0; i < 40; ++i) {
        all.paces.note(common::server_id{"a"}, milliseconds{10}, 500.0);
        all.paces.note(common::server_id{"b"}, milliseconds{100}, 500.0);
        all.paces.note(common::server_id{"c"}, milliseconds{100}, 500.0);
    }
    std::map<std::string, int> sent;
    constexpr double work = 1000.0;
    for (int i = 0; i < 30; ++i) {
        const auto server = all.choose(wish());
        sent[server] += 1;
        all.loads.begin(common::server_id{server}, work);
    }
    CHECK(sent["a"] <= 2 * sent["b"]);
    CHECK(sent["a"] > sent["b"]);
}

TEST_CASE("what long work takes is not told by many short requests", "[pace_book]")
{
    // Short requests take more time for their work than long ones: each costs a step of the engine.
    server_speed_tracker paces;
    CHECK(paces.expected(1000.0) == milliseconds{0});
    for (int i = 0; i < 400; ++i) {
        paces.note(common::server_id{"a"}, milliseconds{30}, 0.0);
        if (i % 4 == 0) {
            paces.note(common::server_id{"a"}, milliseconds{400}, 19500.0);
        }
    }
    CHECK(paces.expected(39500.0) > milliseconds{700});
    CHECK(paces.expected(39500.0) < milliseconds{1200});
}

} // namespace reedramp::routing
