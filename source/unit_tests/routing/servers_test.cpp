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

/// Servers with the trackers that a choice uses.
struct fleet {
    server_table table;
    load_tracker loads;
    server_speed_tracker speeds;
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
            {this->loads, this->speeds, this->health},
            {},
            0,
            now);
        return found == nullptr ? "" : found->id.value();
    }
};

auto make_request() -> placement_request
{
    placement_request asked;
    asked.work = 100.0;
    asked.own_data_centre = common::data_centre_id{"dc-1"};
    return asked;
}

} // namespace

TEST_CASE("a server that announced that it leaves never returns", "[server_table]")
{
    // A server announces that it leaves. The store's history is dropped, and the list is read again
    // from a record that is older than the announcement. If the server were usable again, it would
    // receive requests after the time that it granted.
    server_table table;
    table.apply({common::server_id{"a"}, server("a")});
    auto leaving = server("a");
    leaving.is_leaving = true;
    table.apply({common::server_id{"a"}, leaving});
    CHECK(table.usable(engines).empty());
    table.apply({common::server_id{"a"}, server("a")});
    CHECK(table.usable(engines).empty());
    CHECK(table.is_known_leaving(common::server_id{"a"}));
}

TEST_CASE("leaving servers reported by a peer are applied", "[server_table]")
{
    // This entry can't read the store. A peer reads that a server leaves, and within some hundred
    // milliseconds no entry may send requests there.
    server_table peer;
    server_table table;
    for (const auto* id : {"a", "b"}) {
        peer.apply({common::server_id{id}, server(id)});
        table.apply({common::server_id{id}, server(id)});
    }
    peer.mark_leaving(common::server_id{"b"});
    table.mark_leaving_by_hash(peer.leaving());
    REQUIRE(table.usable(engines).size() == 1);
    CHECK(table.usable(engines).front()->id.value() == "a");
    // Only the newest are reported.
    for (int i = 0; i < 100; ++i) {
        peer.mark_leaving(common::server_id{std::to_string(i)});
    }
    CHECK(peer.leaving().size() == 16);
}

TEST_CASE("a server whose registration lapsed may return", "[server_table]")
{
    // The store was down for longer than a registration lasts. The server kept running, and
    // registers again under the same id.
    server_table table;
    table.apply({common::server_id{"a"}, server("a")});
    table.apply({common::server_id{"a"}, std::nullopt});
    CHECK(table.usable(engines).empty());
    table.apply({common::server_id{"a"}, server("a")});
    CHECK(table.usable(engines).size() == 1);
}

TEST_CASE("peers' requests in flight count until their report expires", "[load_book]")
{
    // Each of two entries would choose the server that is idle according to its own load alone.
    fleet all;
    all.loads.begin(common::server_id{"a"}, 500.0);
    all.loads.begin(common::server_id{"b"}, 50.0);
    CHECK(all.choose(make_request()) == "c");
    all.loads.apply_reports(
        common::host_id{"peer"},
        {{hash_of(common::server_id{"c"}), {3.0, 900.0}}},
        start + milliseconds{500});
    CHECK(all.choose(make_request()) == "b");
    CHECK(all.loads.total(common::server_id{"c"}, start).requests == 3.0);
    // The peer has failed, so it has nothing in flight.
    CHECK(all.choose(make_request(), start + seconds{1}) == "c");
}

TEST_CASE("a load tracker without requests holds nothing", "[load_book]")
{
    load_tracker loads;
    const common::server_id id{"a"};
    loads.begin(id, 0.1);
    loads.begin(id, 0.2);
    loads.reduce_work(id, 0.05);
    loads.end(id, 0.05);
    loads.end(id, 0.2);
    CHECK(loads.make_reports().empty());
    loads.end(id, 0.2);
    CHECK(loads.own(id).requests == 0.0);
}

TEST_CASE(
    "a prompt goes to the server with its prefix, unless that is far busier", "[server_choice]")
{
    fleet all;
    auto asked = make_request();
    asked.affinity = 77;
    asked.saved_work = 50.0;
    const auto bound = asked.saved_work * choice_options{}.affinity_patience;
    const auto holder = all.choose(asked);
    all.loads.begin(common::server_id{holder}, 0.9 * bound);
    CHECK(all.choose(asked) == holder);
    all.loads.begin(common::server_id{holder}, 0.2 * bound);
    CHECK(all.choose(asked) != holder);
}

TEST_CASE("a server that was tried is not chosen again", "[server_choice]")
{
    fleet all;
    auto asked = make_request();
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
    CHECK(all.choose(make_request()) != "far");
    for (const auto* id : {"a", "b", "c"}) {
        all.loads.begin(common::server_id{id}, 150.0);
    }
    CHECK(all.choose(make_request()) == "far");
}

TEST_CASE("a failing server is ejected, for longer each time", "[server_health]")
{
    // A server's status check succeeds, but no connection to it can be opened. Each request that
    // tries it loses time, so it receives one only occasionally until it responds.
    server_health health{health_options{}};
    const common::server_id id{"a"};
    health.note(id, server_outcome::unreachable, start);
    CHECK(health.is_ejected(id, start + milliseconds{600}));
    CHECK_FALSE(health.is_ejected(id, start + milliseconds{800}));
    health.note(id, server_outcome::unreachable, start + milliseconds{800});
    CHECK(health.is_ejected(id, start + milliseconds{2000}));
    CHECK_FALSE(health.is_ejected(id, start + milliseconds{2300}));
}

TEST_CASE("if all servers are ejected, one is chosen anyway", "[server_health]")
{
    fleet all;
    for (const auto* id : {"a", "b", "c"}) {
        all.health.note(common::server_id{id}, server_outcome::unreachable, start);
    }
    CHECK(all.choose(make_request()) != "");
}

TEST_CASE(
    "a server that fails silently is ejected; usual failures are not enough", "[server_health]")
{
    // Every seventh answer of this service is a failure, and one server always fails.
    server_health health{health_options{}};
    const common::server_id healthy{"a"};
    const common::server_id failing_one{"b"};
    bool healthy_was_ejected = false;
    for (int i = 0; i < 70; ++i) {
        const auto now = start + milliseconds{10 * i};
        health.note(healthy, i % 7 == 0 ? server_outcome::failed : server_outcome::good, now);
        healthy_was_ejected = healthy_was_ejected || health.is_ejected(healthy, now);
        health.note(failing_one, server_outcome::failed, now);
    }
    CHECK_FALSE(healthy_was_ejected);
    CHECK(health.is_ejected(failing_one, start + milliseconds{700}));
}

TEST_CASE("entries eject a failing server jointly", "[server_health]")
{
    // A server fails all of its requests while its status check succeeds. Each of 20 entries sends
    // it one request per second and would need two failures on its own: 40 callers' requests.
    const common::server_id failing{"grey"};
    const common::server_id healthy{"sound"};
    constexpr std::size_t entries = 20;
    std::vector<server_health> all(entries, server_health{health_options{}});
    auto now = start;
    const auto exchange_reports = [&all, &now] {
        for (std::size_t from = 0; from < all.size(); ++from) {
            for (std::size_t to = 0; to < all.size(); ++to) {
                if (from != to) {
                    all[to].apply_reports(
                        common::host_id{std::to_string(from)},
                        all[from].make_reports(now),
                        now + seconds{3},
                        now);
                }
            }
        }
    };
    int failed = 0;
    for (std::size_t i = 0; i < entries; ++i) {
        auto& one = all[i];
        one.note(healthy, server_outcome::good, now);
        if (!one.is_ejected(failing, now)) {
            one.note(failing, server_outcome::failed, now);
            failed += 1;
        }
        now += milliseconds{50};
        exchange_reports();
    }
    CHECK(failed <= 5);
    CHECK_FALSE(all[0].is_ejected(healthy, now));
}

TEST_CASE("a service's usual failures do not add up over entries", "[server_health]")
{
    // A plain service fails one request in seven. Each entry reports the failures only; added up
    // without the other entries' successes, every server would seem to fail always.
    constexpr std::size_t entries = 20;
    std::vector<server_health> all(entries, server_health{health_options{}});
    auto alone = all;
    std::mt19937_64 random{20261202};
    auto now = start;
    int extra_ejections = 0;
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
                    all[to].apply_reports(host, all[i].make_reports(now), now + seconds{3}, now);
                }
            }
        }
        for (std::size_t i = 0; i < entries; ++i) {
            const common::server_id server{"a"};
            const bool ejected = all[i].is_ejected(server, now);
            extra_ejections += ejected && !alone[i].is_ejected(server, now) ? 1 : 0;
        }
        now += milliseconds{500};
    }
    CHECK(extra_ejections == 0);
}

TEST_CASE("servers that fail together do not become the baseline", "[server_health]")
{
    // A third of the servers fail all their requests at once and, being fast, receive most of them.
    // When they dominated the service's mean failure rate, none of them was ejected.
    server_health health{health_options{}};
    auto now = start;
    int to_failing = 0;
    for (int i = 0; i < 300; ++i) {
        now += milliseconds{10};
        for (const auto* name : {"x", "y", "z"}) {
            const common::server_id failing{name};
            if (!health.is_ejected(failing, now)) {
                health.note(failing, server_outcome::failed, now);
                to_failing += 1;
            }
        }
        health.note(common::server_id{"sound"}, server_outcome::good, now);
    }
    CHECK(to_failing < 60);
}

TEST_CASE("an expired report of a peer does not count", "[server_health]")
{
    const common::server_id server{"a"};
    server_health health{health_options{}};
    health.apply_reports(
        common::host_id{"peer"}, {{hash_of(server), 0.0, 2.5}}, start + milliseconds{500}, start);
    CHECK_FALSE(health.is_ejected(server, start));
    // One own failure and the peer's would be too many if the peer's still counted.
    const auto later = start + seconds{1};
    health.note(server, server_outcome::good, later);
    health.note(server, server_outcome::good, later);
    health.note(server, server_outcome::failed, later);
    CHECK_FALSE(health.is_ejected(server, later));
}

TEST_CASE("refusals of a full server do not count as failures", "[server_health]")
{
    server_health health{health_options{}};
    const common::server_id id{"a"};
    for (int i = 0; i < 50; ++i) {
        health.note(id, server_outcome::refused, start);
    }
    CHECK(health.failures(id) == 0.0);
    CHECK_FALSE(health.is_ejected(id, start));
}

TEST_CASE("a slow server receives less work", "[pace_book]")
{
    // One server takes seven times as long for its work. Balanced by work alone it would get an
    // equal share and have the longest queue.
    fleet all;
    for (int i = 0; i < 40; ++i) {
        all.speeds.note(common::server_id{"a"}, milliseconds{700}, 500.0);
        all.speeds.note(common::server_id{"b"}, milliseconds{100}, 500.0);
        all.speeds.note(common::server_id{"c"}, milliseconds{100}, 500.0);
    }
    CHECK(
        all.speeds.slowness(common::server_id{"a"}) >
        5.0 * all.speeds.slowness(common::server_id{"b"}));
    all.loads.begin(common::server_id{"b"}, 200.0);
    all.loads.begin(common::server_id{"c"}, 200.0);
    CHECK(all.choose(make_request()) != "a");
    CHECK(all.speeds.slowness(common::server_id{"new"}) == 1.0);
}

TEST_CASE("a server that was idle does not attract all work", "[pace_book]")
{
    // One server answered some requests in a tenth of the others' time because it was idle and had
    // the prompts cached. Rated ten times as fast, it received forty requests within a second,
    // which then waited for two seconds, and the next server that had been left idle received the
    // next forty.
    fleet all;
    for (int i = 0; i < 40; ++i) {
        all.speeds.note(common::server_id{"a"}, milliseconds{10}, 500.0);
        all.speeds.note(common::server_id{"b"}, milliseconds{100}, 500.0);
        all.speeds.note(common::server_id{"c"}, milliseconds{100}, 500.0);
    }
    std::map<std::string, int> sent;
    constexpr double work = 1000.0;
    for (int i = 0; i < 30; ++i) {
        const auto server = all.choose(make_request());
        sent[server] += 1;
        all.loads.begin(common::server_id{server}, work);
    }
    CHECK(sent["a"] <= 2 * sent["b"]);
    CHECK(sent["a"] > sent["b"]);
}

TEST_CASE("the time for long work is not estimated from short requests only", "[pace_book]")
{
    // Short requests take more time per unit of work than long ones: each costs at least one step
    // of the engine.
    server_speed_tracker speeds;
    CHECK(speeds.expected(1000.0) == milliseconds{0});
    for (int i = 0; i < 400; ++i) {
        speeds.note(common::server_id{"a"}, milliseconds{30}, 0.0);
        if (i % 4 == 0) {
            speeds.note(common::server_id{"a"}, milliseconds{400}, 19500.0);
        }
    }
    CHECK(speeds.expected(39500.0) > milliseconds{700});
    CHECK(speeds.expected(39500.0) < milliseconds{1200});
}

} // namespace reedramp::routing
