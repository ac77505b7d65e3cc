#include <iostream>

#include <catch2/catch.hpp>

#include "entry_fleet.hpp"

namespace reedramp::router::testing {

namespace {

/// Time in which entries find each other and their readers.
constexpr seconds settled{3};

/// A leaving server serves requests for at least two seconds.
constexpr milliseconds drain_time{2000};

/// Limit while no entry has died: three quarters of the time in which a leaving server serves
/// requests. One second until the next reading; the rest is for updates and for repeating lost
/// ones.
constexpr milliseconds usual_time{1500};

auto update_from(const entry_fleet& fleet, std::size_t sender) -> list_update
{
    const auto& one = *fleet.entries[sender];
    list_update update;
    update.host = common::host_id{"host-" + std::to_string(1000 + sender)};
    update.address = http::to_string(one.where);
    update.data_centre = one.own.core->options.data_centre;
    update.part = {*one.list->known_to(), *one.list->known_to(), {}};
    update.digest = one.own.core->servers.digest();
    return update;
}

auto leaving_change(const std::string& server) -> routing::registration_change
{
    routing::registration now;
    now.id = common::server_id{server};
    now.service = common::service_name{"engines"};
    now.address = "10.9.0.1:80";
    now.is_leaving = true;
    return {now.id, now};
}

} // namespace

TEST_CASE("store calls grow with data centres and changes, not with entries", "[hand_on]")
{
    // If each change of the list makes every entry read the store, and each entry reads on its own
    // where updates are slow, most calls of a hundred entries are such reads.
    for (const std::size_t count : {4, 26, 103}) {
        entry_fleet fleet{{.entries = count, .data_centres = 5}};
        fleet.run(settled);
        fleet.calls = 0;
        for (int i = 0; i < 10; ++i) {
            fleet.write("new-" + std::to_string(i));
            fleet.run(seconds{1});
        }
        INFO(count << " entries, " << fleet.calls << " calls");
        CHECK(fleet.calls >= 8);
        CHECK(fleet.calls <= 30);
        CHECK(fleet.using_server("new-9") >= count - 1);
    }
}

TEST_CASE("a leaving server is known everywhere within a reading and two hops", "[hand_on]")
{
    for (const std::size_t count : {4, 26, 103}) {
        entry_fleet fleet{{.entries = count, .data_centres = 5, .loss = 0.02}};
        fleet.run(settled);
        for (const auto* server : {"a", "b", "c"}) {
            fleet.run(milliseconds{370});
            fleet.write(server, true);
            INFO(count << " entries, server " << server);
            CHECK(fleet.time_until_unused(server, drain_time) <= usual_time);
        }
    }
}

TEST_CASE("all readers of a data centre die at once", "[hand_on]")
{
    // The two readers of a data centre are killed at once, and a server leaves. The other entries
    // still rely on them. Until their death is detected, the others learn of the change from any
    // peer's report, and ask that peer.
    entry_fleet fleet{{.entries = 26, .data_centres = 3}};
    fleet.run(settled);
    const auto readers = fleet.readers_of(1);
    REQUIRE(readers.size() == 2);
    for (const auto reader : readers) {
        fleet.entries[reader]->is_dead = true;
    }
    fleet.write("a", true);
    CHECK(fleet.time_until_unused("a", drain_time) < drain_time);
    fleet.run(settled);
    CHECK(fleet.readers_of(1).size() == 2);
}

TEST_CASE("all readers of all data centres die at once", "[hand_on]")
{
    // No entry reads, and none knows it yet. An entry that has learned of no reading for long
    // enough reads itself.
    entry_fleet fleet{{.entries = 26, .data_centres = 3}};
    fleet.run(settled);
    for (std::size_t at = 0; at < 3; ++at) {
        for (const auto reader : fleet.readers_of(at)) {
            fleet.entries[reader]->is_dead = true;
        }
    }
    fleet.write("a", true);
    CHECK(fleet.time_until_unused("a", milliseconds{4000}) <= milliseconds{2200});
}

TEST_CASE("a reader that was frozen does not make an old list look new", "[hand_on]")
{
    // A reader is frozen while the store's response is on its way, and a server leaves. Three
    // seconds later it wakes and receives the response. If taken as current, it would tell all
    // others that nothing has changed and that they need not read.
    entry_fleet fleet{{.entries = 4, .data_centres = 1}};
    fleet.run(settled);
    auto& reader = *fleet.entries[0];
    const auto asked_at = reader.own.now;
    const servers_list::reading old{{}, stream_position{*reader.list->known_to()}, false};
    reader.is_frozen = true;
    fleet.run(seconds{3});
    reader.is_frozen = false;
    fleet.run(milliseconds{10});
    reader.list->apply_reading(old, asked_at);
    const auto freshness = reader.own.core->freshness.make_report(reader.own.now);
    CHECK(freshness.age >= milliseconds{500});
    fleet.write("a", true);
    CHECK(fleet.time_until_unused("a", drain_time) <= usual_time);
}

TEST_CASE("data centres that are cut off from each other continue, and agree again", "[hand_on]")
{
    entry_fleet fleet{{.entries = 26, .data_centres = 3}};
    fleet.run(settled);
    fleet.is_cut = [](std::size_t from, std::size_t to) {
        return from != to && (from == 2 || to == 2);
    };
    fleet.run(milliseconds{150});
    fleet.write("a", true);
    CHECK(fleet.time_until_unused("a", milliseconds{3000}) <= milliseconds{2200});
    // Once the cut is detected, each side has its readers.
    fleet.run(seconds{5});
    fleet.write("b", true);
    CHECK(fleet.time_until_unused("b", drain_time) <= usual_time);
    fleet.is_cut = {};
    fleet.run(seconds{3});
    fleet.calls = 0;
    fleet.run(seconds{5});
    CHECK(fleet.calls <= 8);
}

TEST_CASE("a data centre with a one-way connection is no worse off", "[hand_on]")
{
    // Datagrams from data centre 2 are lost, while it receives those of the others. They see it as
    // dead, it sees them as alive, and neither must wait for the other's reading.
    entry_fleet fleet{{.entries = 26, .data_centres = 3}};
    fleet.run(settled);
    fleet.is_cut = [](std::size_t from, std::size_t to) {
        return from == 2 && to != 2;
    };
    for (const auto* server : {"a", "b"}) {
        fleet.run(seconds{4});
        fleet.write(server, true);
        CHECK(fleet.time_until_unused(server, milliseconds{3000}) <= milliseconds{2200});
    }
}

TEST_CASE("an entry that the store refuses learns of new servers", "[hand_on]")
{
    // The store refuses an entry and serves the others. If it learned only of leaving servers from
    // its peers and of no new ones, all servers that it knows would be gone after a roll-out.
    entry_fleet fleet{{.entries = 4, .data_centres = 1}};
    fleet.run(settled);
    fleet.entries[3]->is_refused_by_store = true;
    fleet.entries[0]->is_refused_by_store = true;
    fleet.write("new");
    fleet.run(seconds{2});
    CHECK(fleet.using_server("new") == 4);
}

TEST_CASE("two first readers of one data centre cost calls but lose no update", "[hand_on]")
{
    // They do not receive each other's reports, each assumes the first rank, and the others receive
    // both.
    entry_fleet fleet{{.entries = 4, .data_centres = 1}};
    fleet.run(settled);
    const servers_list::reading again{
        {leaving_change("a")}, stream_position{*fleet.entries[0]->list->known_to() + 1}, false};
    fleet.write("a", true);
    for (const std::size_t reader : {0, 1}) {
        auto& one = *fleet.entries[reader];
        one.list_updates->publish(one.list->apply_reading(again, one.own.now));
    }
    fleet.run(milliseconds{100});
    CHECK(fleet.using_server("a") == 0);
    CHECK(fleet.entries[3]->list->known_to() == again.end.value());
}

TEST_CASE("late, repeated or reordered updates undo nothing", "[hand_on]")
{
    // A server registers, leaves, and ends. The three updates arrive in another order, some of them
    // twice. If applied as they arrive, the server would be back.
    entry_fleet fleet{{.entries = 4, .data_centres = 1}};
    fleet.run(settled);
    fleet.records_sent = true;
    fleet.write("x");
    fleet.run(milliseconds{1300});
    fleet.write("x", true);
    fleet.run(milliseconds{1300});
    fleet.remove("x");
    fleet.run(milliseconds{1300});
    auto datagrams = fleet.sent;
    std::erase_if(datagrams, [](const auto& one) { return !is_list_update(one.second); });
    REQUIRE(datagrams.size() >= 6);
    const auto known_to = fleet.entries[3]->list->known_to();
    std::mt19937_64 random{7};
    for (int round = 0; round < 3; ++round) {
        std::ranges::shuffle(datagrams, random);
        for (const auto& [to, bytes] : datagrams) {
            fleet.deliver(3, bytes);
        }
        CHECK(fleet.using_server("x") == 0);
        CHECK(fleet.entries[3]->list->known_to() == known_to);
    }
}

TEST_CASE("an update without changes is small", "[hand_on]")
{
    // A reader sends one each second to all entries of its data centre: 64 others at full size, 16
    // KB per second.
    entry_fleet fleet{{.entries = 4, .data_centres = 1}};
    fleet.run(settled);
    fleet.records_sent = true;
    fleet.run(seconds{3});
    std::size_t largest = 0;
    for (const auto& [to, bytes] : fleet.sent) {
        largest = std::max(largest, is_list_update(bytes) ? bytes.size() : 0);
    }
    INFO(largest << " bytes");
    CHECK(largest > 0);
    CHECK(largest <= 250);
}

TEST_CASE("invalid updates from a neighbour change nothing, and are counted", "[hand_on]")
{
    entry_fleet fleet{{.entries = 4, .data_centres = 1}};
    fleet.run(settled);
    auto& one = *fleet.entries[3];
    auto good = update_from(fleet, 0);
    good.part.changes = {leaving_change("a")};
    good.part.end += 1;
    const auto bytes = encode_datagram(good);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const auto cut = bytes.substr(0, size);
        if (is_list_update(cut)) {
            one.list_updates->receive(cut);
        }
    }
    auto without_id = good;
    without_id.part.changes.front().id = common::server_id{""};
    one.list_updates->receive(encode_datagram(without_id));
    auto backwards = good;
    backwards.part.from = good.part.end + 5;
    one.list_updates->receive(encode_datagram(backwards));
    CHECK(fleet.using_server("a") == 4);
    CHECK(one.own.core->counters.list_rejected.value() > 2);
    CHECK_FALSE(decode_answer(std::string(2'000'000, 'x')));
    one.list_updates->receive(bytes);
    CHECK(fleet.using_server("a") == 3);
}

TEST_CASE("a position that the store never had is detected", "[hand_on]")
{
    // A faulty process reports a list position far beyond the end of the store. If trusted, each
    // later reading would look outdated, and no change would be applied any more.
    entry_fleet fleet{{.entries = 26, .data_centres = 3}};
    fleet.run(settled);
    auto false_update = update_from(fleet, 0);
    false_update.part.end += 1'000'000;
    false_update.freshness =
        fleet.entries[0]->own.core->freshness.make_report(fleet.entries[0]->own.now);
    for (const std::size_t to : {3, 4, 5, 6}) {
        fleet.deliver(to, encode_datagram(false_update));
    }
    fleet.run(seconds{4});
    fleet.write("a", true);
    CHECK(fleet.time_until_unused("a", drain_time) <= usual_time);
}

TEST_CASE("a list that differs without a missing change is repaired", "[hand_on]")
{
    // One entry has dropped a server by mistake, because another server responded for it. The
    // server's heartbeats change nothing at the readers, so no update names the server.
    entry_fleet fleet{{.entries = 26, .data_centres = 3}};
    fleet.run(settled);
    fleet.entries[20]->own.core->servers.remove_replaced(common::server_id{"b"});
    CHECK(fleet.using_server("b") == 25);
    fleet.run(seconds{6});
    CHECK(fleet.using_server("b") == 26);
}

TEST_CASE("trimmed history costs the neighbours nothing", "[hand_on]")
{
    // The store trims its history while the list changes. The reader reads the whole list and works
    // out the changes. Otherwise each neighbour would ask for the whole list, 19 KB to each of a
    // hundred at once.
    entry_fleet fleet{{.entries = 26, .data_centres = 3}};
    fleet.run(settled);
    fleet.write("new");
    fleet.write("a", true);
    fleet.trimmed_to = 6;
    fleet.run(seconds{2});
    CHECK(fleet.using_server("new") == 26);
    CHECK(fleet.using_server("a") == 0);
    std::uint64_t questions = 0;
    for (const auto& one : fleet.entries) {
        questions += one->own.core->counters.list_queries.value();
    }
    CHECK(questions <= 2);
}

TEST_CASE("changes that do not fit into a datagram are queried", "[hand_on]")
{
    entry_fleet fleet{{.entries = 26, .data_centres = 3}};
    fleet.run(settled);
    for (int i = 0; i < 180; ++i) {
        fleet.write("new-" + std::to_string(i));
    }
    fleet.run(milliseconds{1500});
    CHECK(fleet.using_server("new-179") == 26);
    CHECK(fleet.using_server("new-0") == 26);
}

TEST_CASE("entries that start together and know one of them all find each other", "[hand_on]")
{
    // A hundred entries start at once and know one address each. If each message names the same few
    // peers, most entries never learn of each other: a session that one of them keeps on an old
    // version is moved by another, and half of the work in flight is missing from load reports.
    entry_fleet fleet{{.entries = 103, .data_centres = 5, .knows_first_only = true}};
    // Three rounds of reports, after which a silent peer does not count as alive.
    fleet.run(seconds{8});
    for (const auto& one : fleet.entries) {
        CHECK(one->peers->live_count() == 102);
    }
}

TEST_CASE("size of the whole list, as a neighbour serves it", "[.bench]")
{
    list_update update;
    for (int i = 0; i < 620; ++i) {
        auto change = leaving_change("i-7f3a91c" + std::to_string(i));
        change.now->address = "10.3.64." + std::to_string(i % 250) + ":8266";
        change.now->data_centre = common::data_centre_id{"dc-" + std::to_string(i % 6)};
        change.now->version = common::version_id{"v2"};
        change.now->started_at = routing::start_time{1'790'000'000'000ULL + i};
        update.part.changes.push_back(std::move(change));
    }
    std::cout << "METRIC list_answer_620_servers " << encode_answer(update).size() << " bytes\n";
}

TEST_CASE("time until the last entry knows of a leaving server, and calls for it", "[.bench]")
{
    const auto measure = [](const std::string& what, fleet_options options, const auto& prepare) {
        milliseconds longest{0};
        std::size_t calls = 0;
        constexpr std::uint64_t seeds = 10;
        for (options.seed = 1; options.seed <= seeds; ++options.seed) {
            entry_fleet fleet{options};
            fleet.run(settled + milliseconds{97 * options.seed});
            prepare(fleet);
            fleet.calls = 0;
            fleet.write("a", true);
            longest = std::max(longest, fleet.time_until_unused("a", seconds{10}));
            fleet.run(seconds{2});
            calls += fleet.calls;
        }
        const auto name = what + "_" + std::to_string(options.entries) + "_entries_" +
                          (options.shares_updates ? "handed_on" : "read_by_each");
        std::cout << "METRIC list_known_" << name << "_max " << longest.count() << " ms\n"
                  << "METRIC list_calls_" << name << " " << calls / seeds << " calls\n";
    };
    const auto for_first_readers = [](entry_fleet& fleet, const auto& action) {
        for (std::size_t at = 0; at < 5; ++at) {
            // The first two of each data centre by name are its readers.
            action(*fleet.entries[at]);
            action(*fleet.entries[at + 5]);
        }
    };
    for (const std::size_t count : {26, 103}) {
        for (const bool shares_updates : {false, true}) {
            const fleet_options options{
                .entries = count,
                .data_centres = 5,
                .loss = 0.01,
                .shares_updates = shares_updates};
            measure("calm", options, [](entry_fleet&) {});
            measure("readers_killed", options, [&](entry_fleet& fleet) {
                for_first_readers(fleet, [](entry_fleet::entry& one) { one.is_dead = true; });
            });
            measure("readers_frozen", options, [&](entry_fleet& fleet) {
                for_first_readers(fleet, [](entry_fleet::entry& one) { one.is_frozen = true; });
            });
            measure("readers_turned_away", options, [&](entry_fleet& fleet) {
                for_first_readers(
                    fleet, [](entry_fleet::entry& one) { one.is_refused_by_store = true; });
            });
            measure("one_way", options, [](entry_fleet& fleet) {
                fleet.is_cut = [](std::size_t from, std::size_t to) {
                    return from == 2 && to != 2;
                };
            });
        }
    }
}

} // namespace reedramp::router::testing
