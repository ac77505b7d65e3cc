#include "routing/server_table.hpp"

#include <random>

#include <catch2/catch.hpp>

#include "routing/load_tracker.hpp"
#include "routing/server_health.hpp"
#include "routing/server_speed_tracker.hpp"

namespace reedramp::routing {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const common::service_name engines{"engines"};
const common::server_id a{"a"};
const common::server_id b{"b"};
const time_point start{seconds{100}};

/// A registration of the start at `born`.
auto registered(const common::server_id& id, std::uint64_t born, bool is_leaving = false)
    -> registration
{
    registration read;
    read.id = id;
    read.service = engines;
    read.address = "10.0.0.1:80";
    read.is_leaving = is_leaving;
    read.born = start_time{born};
    return read;
}

auto started(const common::server_id& id, std::uint64_t born) -> server_instance
{
    return {id, start_time{born}};
}

} // namespace

TEST_CASE("a server that turns cold in the middle of its work is news, and so is its end", "[cold]")
{
    server_table table;
    auto read = registered(a, 1);
    table.take(read, start);
    read.cold_until = start + seconds{3};
    CHECK(table.take(read, start) == table_event::cold);
    // The next record, read a little later after its writing than the one before.
    read.cold_until += std::chrono::milliseconds{400};
    CHECK(table.take(read, start + seconds{1}) == table_event::none);
    read.cold_until = {};
    CHECK(table.take(read, start + seconds{1}) == table_event::warm);
    CHECK(table.find(a)->cold_until <= start + seconds{1});
    CHECK(table.take(read, start + seconds{2}) == table_event::none);
}

TEST_CASE("an evacuated data centre's servers are none to use, and stay listed", "[evacuation]")
{
    server_table table;
    table.take(registered(a, 1), start);
    auto read = registered(b, 1);
    read.data_centre = common::data_centre_id{"dc-b"};
    table.take(read, start);
    const auto digest = table.digest();
    table.close({read.data_centre});
    CHECK(table.usable(engines).size() == 1);
    CHECK(table.digest() == digest);
    CHECK(table.size() == 2);
    table.close({});
    CHECK(table.usable(engines).size() == 2);
}

TEST_CASE("a server that starts again under its id begins from nothing", "[server_table]")
{
    // It said that it leaves, failed often and was slow before it ended. Its next start has done
    // none of that, and is to get work at once.
    server_table table;
    load_tracker loads;
    server_speed_tracker paces;
    server_health health{health_options{}};
    CHECK(table.take(registered(a, 10), start) == table_event::usable);
    const auto first = table.find(a)->start();
    loads.begin(first, 500.0);
    for (int i = 0; i < 20; ++i) {
        health.note(first, server_outcome::unreachable, start);
        paces.note(first, seconds{9}, 1.0);
        paces.note(started(b, 1), seconds{1}, 1.0);
        paces.note(started(common::server_id{"c"}, 1), seconds{1}, 1.0);
    }
    CHECK(table.take(registered(a, 10, true), start) == table_event::leaving);
    CHECK(table.find(a) == nullptr);
    CHECK(table.lapse(a) == table_event::none);
    CHECK(table.take(registered(a, 20), start) == table_event::restarted);
    REQUIRE(table.find(a) != nullptr);
    const auto second = table.find(a)->start();
    CHECK(second != first);
    CHECK(loads.total(second, start).work == 0.0);
    CHECK(health.failures(second) == 0.0);
    CHECK_FALSE(health.is_resting(second, start));
    CHECK(paces.slowness(second) == 1.0);
    CHECK(paces.slowness(first) > 2.0);
}

TEST_CASE("an earlier start's late word counts neither for nor against the later", "[server_table]")
{
    // A list that is read again, a peer's message of a moment ago, an answer to a request that the
    // earlier start took.
    server_table table;
    table.take(registered(a, 10), start);
    table.retire(started(a, 10), start);
    const auto leaving_then = table.leaving();
    table.take(registered(a, 20), start);
    CHECK(table.take(registered(a, 10, true), start) == table_event::late);
    // Told of once.
    CHECK(table.take(registered(a, 10, true), start) == table_event::none);
    CHECK(table.find(a) != nullptr);
    CHECK(table.retire_named(leaving_then, start).empty());
    table.drop(started(a, 10));
    CHECK(table.end_named({{hash_of(started(a, 10)), 99}}, 5).empty());
    CHECK(table.find(a) != nullptr);
    // The later one leaves; the earlier one's registration, read once more, brings none back.
    table.take(registered(a, 20, true), start);
    table.take(registered(a, 10), start);
    table.take(registered(a, 20), start);
    CHECK(table.find(a) == nullptr);
    CHECK(table.is_retired(a));
}

TEST_CASE("a start that can't be is defined", "[server_table]")
{
    server_table table;
    SECTION("ahead of the time of day, it outranks no start that comes after it")
    {
        auto ahead = registered(a, 9'000'000);
        ahead.is_born_ahead = true;
        CHECK(table.take(ahead, start) == table_event::usable);
        CHECK(table.take(registered(a, 20), start) == table_event::restarted);
        CHECK(table.find(a)->born == start_time{20});
    }
    SECTION("earlier than one that has fallen silent, it is the present one")
    {
        // The host's clock was set back, and the server started again. Taken for late words, its
        // leaving would never count.
        table.take(registered(a, 20), start);
        CHECK(table.take(registered(a, 10), start + seconds{5}) == table_event::late);
        CHECK(table.take(registered(a, 20), start + seconds{6}) == table_event::none);
        CHECK(table.take(registered(a, 10), start + seconds{15}) == table_event::late);
        CHECK(table.take(registered(a, 10), start + seconds{17}) == table_event::restarted);
        CHECK(table.take(registered(a, 10, true), start + seconds{18}) == table_event::leaving);
    }
    SECTION("missing where it was given, the record is another writer's")
    {
        table.take(registered(a, 10), start);
        CHECK(table.take(registered(a, 0), start) == table_event::unreadable);
        CHECK(table.find(a) == nullptr);
        CHECK(table.take(registered(a, 10), start) == table_event::usable);
    }
    SECTION("never given, the id has one start")
    {
        table.take(registered(a, 0), start);
        table.take(registered(a, 0, true), start);
        CHECK(table.take(registered(a, 0), start) == table_event::none);
        CHECK(table.find(a) == nullptr);
        // A server that has begun to say it.
        CHECK(table.take(registered(a, 20), start) == table_event::restarted);
    }
}

TEST_CASE("a record that is none takes a server out until a good one comes", "[server_table]")
{
    server_table table;
    table.take(registered(a, 10), start);
    table.take(registered(b, 10), start);
    CHECK(table.spoil(a) == table_event::unreadable);
    // Said once.
    CHECK(table.spoil(a) == table_event::none);
    CHECK(table.find(a) == nullptr);
    CHECK(table.find(b) != nullptr);
    // It is no leaving: peers are told of none.
    CHECK(table.leaving().empty());
    CHECK(table.take(registered(a, 10), start) == table_event::usable);
    // A server that leaves stays so, whatever is written over its record.
    table.take(registered(a, 10, true), start);
    CHECK(table.spoil(a) == table_event::none);
    CHECK(table.take(registered(a, 10), start) == table_event::none);
    CHECK(table.find(a) == nullptr);
    // Rubbish under an id of no server names none, and goes with its record.
    const common::server_id c{"c"};
    CHECK(table.spoil(c) == table_event::unreadable);
    CHECK(table.size() == 1);
    CHECK(table.listed().size() == 2);
    CHECK(table.lapse(c) == table_event::none);
    CHECK_FALSE(table.state_of(c));
}

TEST_CASE("an entry that is cut off from the store hears of ends from peers", "[server_table]")
{
    // A server ends its registration without a word that it leaves. Entries told each other only of
    // those that say it, so that one that was cut off sent work there until it had the store back.
    server_table reader;
    server_table cut_off;
    for (auto* table : {&reader, &cut_off}) {
        table->take(registered(a, 10), start);
        table->take(registered(b, 10), start);
    }
    CHECK(reader.lapse(a) == table_event::lapsed);
    // Not while it may come back.
    CHECK(reader.ended(start).empty());
    CHECK(reader.end_lapsed(7, start) == std::vector{started(a, 10)});
    const auto told = reader.ended(start);
    // Who has read as far knows better: it may have come back since.
    CHECK(cut_off.end_named(told, 7).empty());
    CHECK(cut_off.end_named(told, 6) == std::vector{started(a, 10)});
    CHECK(cut_off.find(a) == nullptr);
    CHECK(cut_off.find(b) != nullptr);
    // It is no leaving.
    CHECK(cut_off.take(registered(a, 10), start) == table_event::usable);
    CHECK(reader.ended(start + seconds{11}).empty());
}

TEST_CASE("peers are told for half a minute that a server leaves", "[server_table]")
{
    server_table table;
    table.take(registered(a, 10), start);
    table.retire(started(a, 10), start);
    table.forget_left(start + seconds{20});
    CHECK(table.leaving().size() == 1);
    table.forget_left(start + seconds{31});
    CHECK(table.leaving().empty());
    CHECK(table.is_retired(a));
}

TEST_CASE("servers that left are remembered for minutes, and not without bound", "[server_table]")
{
    server_table table;
    for (int i = 0; i < 5000; ++i) {
        const common::server_id id{std::to_string(i)};
        const auto now = start + std::chrono::milliseconds{i};
        table.take(registered(id, 10), now);
        table.retire(started(id, 10), now);
    }
    table.forget_left(start + seconds{5});
    CHECK_FALSE(table.is_retired(common::server_id{"0"}));
    CHECK_FALSE(table.is_retired(common::server_id{"2951"}));
    CHECK(table.is_retired(common::server_id{"2952"}));
    CHECK(table.is_retired(common::server_id{"4999"}));
    table.forget_left(start + minutes{4});
    CHECK(table.is_retired(common::server_id{"4999"}));
    table.forget_left(start + minutes{6});
    CHECK_FALSE(table.is_retired(common::server_id{"4999"}));
}

TEST_CASE("in any order of words a start that has left gets no work", "[server_table]")
{
    // Words of three starts, of peers and of other writers, in 300 orders drawn at random.
    std::mt19937_64 random{4711};
    for (int order = 0; order < 300; ++order) {
        server_table table;
        std::uint64_t newest = 0;
        std::vector<bool> has_left(4, false);
        for (int word = 0; word < 60; ++word) {
            const auto born = 1 + random() % 3;
            const auto before = table.state_of(b);
            switch (random() % 6) {
            case 0:
                table.take(registered(a, born, true), start);
                has_left[born] = has_left[born] || born >= newest;
                newest = std::max(newest, born);
                break;
            case 1:
                table.retire_named({hash_of(started(a, born))}, start);
                has_left[born] = has_left[born] || born == newest;
                break;
            case 2:
                table.spoil(a);
                break;
            default:
                table.take(registered(a, born), start);
                newest = std::max(newest, born);
                break;
            }
            const auto* found = table.find(a);
            if (found != nullptr) {
                CHECK(found->born == start_time{newest});
                CHECK_FALSE(has_left[newest]);
            }
            CHECK(table.state_of(b) == before);
        }
    }
}

} // namespace reedramp::routing
